import type {Instant} from '@basilworks/core';
import {
  before,
  hostRecordSchema,
  type HostStatus,
  LIVENESS_MS,
  type StoreKind,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import type {PeerLink} from './peer-link.js';
import {
  encodeViews,
  knownRevisions,
  SnapshotTexts,
  takeViews,
} from './view-codec.js';

/** Between two rounds of exchanges, milliseconds. */
export const ROUND_MS = Math.floor(LIVENESS_MS / 4);

/** Readers of the store that every host asks in each round. */
const READERS_ASKED = 2;

/** Other peers that are asked in each round, in turn. */
const OTHERS_ASKED = 2;

/** The part of a link that is used from outside. */
export type PeerConnection = Pick<
  PeerLink,
  'exchange' | 'prepare' | 'release' | 'doubtful' | 'close'
>;

/** Talks to other entry hosts: who lives, and what the store holds. */
export class PeerExchange {
  private readonly links = new Map<string, PeerConnection>();
  private readonly texts = new SnapshotTexts();
  private readonly pending = new Set<string>();
  private turn = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly onNewer: (kind: StoreKind) => void,
    /** Opens the link to an address. */
    private readonly connect: (address: string) => PeerConnection,
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
    this.announce();
  }

  /** The link to a host, if its address is known. */
  linkTo(host: string): PeerConnection | undefined {
    const address = this.context.membership.status(host)?.peerAddress;
    return address === undefined ? undefined : this.link(address);
  }

  /** Answers a peer's exchange. */
  answer({sender, known}: fleet.ExchangeRequest): fleet.ExchangeResponse {
    const {membership, views, clock} = this.context;
    const at = clock.now();
    if (sender !== undefined) {
      this.heard(sender, at);
    }
    const self = membership.self();
    return {
      responder: {...self},
      views: encodeViews(views, known, this.texts, at),
      live: membership
        .live(at)
        .filter(({host}) => host !== self.host)
        .map((status) => ({
          status: {...status},
          ageMs: Math.ceil(membership.silentMs(status.host, at)),
        })),
    };
  }

  /** Tells all peers at once what this host is. */
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

  /** Asks the readers of the store, and a few others in turn. */
  private runRound(): void {
    const {membership, clock} = this.context;
    const readers = membership
      .readers(READERS_ASKED, clock.now())
      .map(({peerAddress}) => peerAddress);
    const others = this.addresses().filter(
      (address) => !readers.includes(address),
    );
    const start = this.turn % Math.max(1, others.length);
    this.turn += OTHERS_ASKED;
    const chosen = [...others, ...others].slice(start, start + OTHERS_ASKED);
    for (const address of new Set([...readers, ...chosen])) {
      void this.exchangeWith(address);
    }
  }

  /** Addresses from the store, from peers and from the settings. */
  private addresses(): readonly string[] {
    const {settings, membership, views, clock} = this.context;
    const records = views.get('records')?.snapshot.items ?? [];
    const recorded = records.flatMap(({value}) => {
      const record = hostRecordSchema.safeParse(value).data;
      return record === undefined ? [] : [record.peerAddress];
    });
    const live = membership
      .live(clock.now())
      .map(({peerAddress}) => peerAddress);
    const all = new Set([...recorded, ...live, ...settings.seeds]);
    all.delete(settings.peerAddress);
    return [...all].sort();
  }

  private async exchangeWith(address: string): Promise<void> {
    const {membership, views, clock, settings} = this.context;
    if (this.pending.has(address) || address === settings.peerAddress) {
      return;
    }
    this.pending.add(address);
    const askedAt = clock.now();
    const response = await this.link(address).exchange({
      sender: {...membership.self()},
      known: knownRevisions(views),
    });
    this.pending.delete(address);
    if (response?.responder === undefined) {
      return;
    }
    this.heard(response.responder, clock.now());
    for (const {status, ageMs} of response.live) {
      if (status !== undefined && status.host !== settings.host) {
        this.heard(status, before(askedAt, ageMs));
      }
    }
    const at = clock.now();
    for (const kind of takeViews(views, response.views, askedAt, at)) {
      this.onNewer(kind);
    }
  }

  private heard(status: HostStatus, at: Instant): void {
    const {membership, logger} = this.context;
    const known = membership.status(status.host);
    if (known?.incarnation !== status.incarnation) {
      const {host: peer, incarnation} = status;
      logger.info('host heard', {peer, incarnation});
    }
    membership.heard({...status}, at);
  }

  private link(address: string): PeerConnection {
    const known = this.links.get(address);
    if (known !== undefined) {
      return known;
    }
    const link = this.connect(address);
    this.links.set(address, link);
    return link;
  }
}
