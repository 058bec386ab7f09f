import type {HostRecord, StoreKind} from '@basilworks/dispatch';
import {LIVENESS_MS, PEERS_PER_ROUND} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import {decodeStatus, encodeStatus, PeerLink} from './peer-link.js';
import {
  encodeViews,
  knownRevisions,
  SnapshotTexts,
  takeViews,
} from './view-codec.js';

/**
 * Between two rounds of exchanges, milliseconds. Each of two hosts asks the
 * other, so that a host is heard about every half of it.
 */
const ROUND_MS = Math.floor(LIVENESS_MS / 3);

/** A peer that is not heard is asked this seldom, in rounds. */
const ROUNDS_PER_SILENT_PEER = 4;

/** Talks to other entry hosts: who lives, and what the store holds. */
export class PeerExchange {
  private readonly links = new Map<string, PeerLink>();
  private readonly texts = new SnapshotTexts();
  private readonly pending = new Set<string>();
  private round = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly onNewer: (kind: StoreKind) => void,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'peers/round',
      ROUND_MS,
      () => {
        this.runRound();
      },
      {signal},
    );
    this.runRound();
  }

  /** The link to a host, if its address is known. */
  linkTo(host: string): PeerLink | undefined {
    const address = this.context.membership.status(host)?.peerAddress;
    return address === undefined ? undefined : this.link(address);
  }

  /** Answers a peer's exchange. */
  answer({sender, known}: fleet.ExchangeRequest): fleet.ExchangeResponse {
    const {membership, views, clock} = this.context;
    const at = clock.now();
    if (sender !== undefined) {
      membership.heard(decodeStatus(sender), at);
    }
    return {
      responder: encodeStatus(membership.self()),
      views: encodeViews(views, known, this.texts, at),
      live: membership.live(at).map(encodeStatus),
    };
  }

  /** Tells all peers at once that this host's status changed. */
  announce(): void {
    for (const address of this.addresses()) {
      void this.exchangeWith(address);
    }
  }

  close(): void {
    for (const link of this.links.values()) {
      link.close();
    }
  }

  private runRound(): void {
    this.round += 1;
    const {membership, clock} = this.context;
    const at = clock.now();
    const heard = new Set(membership.live(at).map((host) => host.peerAddress));
    const due = this.addresses().filter(
      (address, index) =>
        heard.has(address) ||
        (this.round + index) % ROUNDS_PER_SILENT_PEER === 0,
    );
    const start = (this.round * PEERS_PER_ROUND) % Math.max(1, due.length);
    const chosen =
      due.length <= PEERS_PER_ROUND
        ? due
        : [...due, ...due].slice(start, start + PEERS_PER_ROUND);
    for (const address of chosen) {
      void this.exchangeWith(address);
    }
  }

  /** Addresses from the store, from peers and from the settings. */
  private addresses(): readonly string[] {
    const {settings, membership, views, clock} = this.context;
    const records = (views.get('records')?.snapshot.items ?? []).flatMap(
      ({value}) => {
        const record = value as HostRecord | {type: 'claim'};
        return record.type === 'host' ? [record.peerAddress] : [];
      },
    );
    const live = membership
      .live(clock.now())
      .map(({peerAddress}) => peerAddress);
    const all = new Set([...records, ...live, ...settings.seeds]);
    all.delete(settings.peerAddress);
    return [...all].sort();
  }

  private async exchangeWith(address: string): Promise<void> {
    if (this.pending.has(address)) {
      return;
    }
    this.pending.add(address);
    const {membership, views, clock} = this.context;
    const askedAt = clock.now();
    const response = await this.link(address).exchange({
      sender: encodeStatus(membership.self()),
      known: knownRevisions(views),
    });
    this.pending.delete(address);
    const at = clock.now();
    if (response?.responder === undefined) {
      return;
    }
    const responder = decodeStatus(response.responder);
    const known = membership.status(responder.host);
    if (known?.incarnation !== responder.incarnation) {
      this.context.logger.info('host heard', {
        peer: responder.host,
        incarnation: responder.incarnation,
      });
    }
    membership.heard(responder, at);
    for (const status of response.live) {
      // Second-hand word makes a host known, but only its own makes it live.
      if (membership.status(status.host) === undefined) {
        void this.exchangeWith(status.peerAddress);
      }
    }
    for (const kind of takeViews(views, response.views, askedAt, at)) {
      this.onNewer(kind);
    }
  }

  private link(address: string): PeerLink {
    const known = this.links.get(address);
    if (known !== undefined) {
      return known;
    }
    const link = new PeerLink(address);
    this.links.set(address, link);
    return link;
  }
}
