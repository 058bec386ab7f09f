import {elapsedMs, type Instant, rankByRendezvous} from '@basilworks/core';
import {
  STREAM_RETENTION_MS,
  type StreamAnswer,
  type StreamOrigin,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {PeerConnection} from '../peers/index.js';

/** Hosts that remember where a stream began, besides the one that began it. */
const KEEPERS = 3;

/**
 * Keepers that acknowledge a stream before it begins. With the host that begins
 * it three know it, so that one does after the loss of two.
 */
const ACKNOWLEDGEMENTS = 2;

/**
 * Hosts that are asked about a stream: its keepers by the membership of the host
 * that began it, whatever hosts have joined or left since.
 */
const HOSTS_ASKED = 8;

/** Hosts that may join until a question, without hiding a keeper from it. */
const JOINED_HOSTS = 3;

/** Delay of reports to keepers, which batches them, milliseconds. */
const REPORT_DELAY_MS = 50;

/** Delay of announcements, which batches them, milliseconds. */
const ANNOUNCEMENT_DELAY_MS = 2;

/** Streams in one report at most. */
const MAXIMUM_REPORTED = 500;

/** What the hosts that were asked about a stream know together. */
export type KeptOrigin =
  | {readonly type: 'known'; readonly softwareVersion: string}
  /** No keeper acknowledged it. */
  | {readonly type: 'not-announced'}
  | {readonly type: 'unknown'};

/** Whether enough keepers confirmed a stream, or there are too few at all. */
export type Receipt = 'acknowledged' | 'no-answer' | 'too-few';

interface Announcement {
  readonly origin: StreamOrigin;
  readonly settle: (receipt: Receipt) => void;
}

/** Tells other hosts where streams began, and asks them. */
export class StreamKeepers {
  /** When hosts were last live, by name. */
  private readonly liveAt = new Map<string, Instant>();
  /** Hosts that may have been told of a stream, whether they still run or not. */
  private readonly everLive = new Set<string>();
  private unreported: StreamOrigin[] = [];
  private unannounced: Announcement[] = [];

  constructor(
    private readonly context: EntryHostContext,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
  ) {}

  /** Notes which hosts are live. */
  review(): void {
    const {membership, clock} = this.context;
    const at = clock.now();
    for (const {host} of membership.live()) {
      this.liveAt.set(host, at);
      this.everLive.add(host);
    }
    for (const [host, liveAt] of this.liveAt) {
      if (elapsedMs(liveAt, at) >= STREAM_RETENTION_MS) {
        this.liveAt.delete(host);
      }
    }
  }

  /** Forgets hosts that have left, where streams need no keepers any more. */
  forgetLeft(): void {
    for (const host of this.everLive) {
      if (!this.liveAt.has(host)) {
        this.everLive.delete(host);
      }
    }
  }

  /** Tells the keepers of streams that have begun, without a confirmation. */
  report(origins: readonly StreamOrigin[]): void {
    const scheduled = this.unreported.length > 0;
    this.unreported.push(...origins);
    if (!scheduled && this.unreported.length > 0) {
      this.context.timers.after('streams/report', REPORT_DELAY_MS, () => {
        this.sendReports();
      });
    }
  }

  /** Tells the keepers of a stream before it begins. */
  announce(origin: StreamOrigin): Promise<Receipt> {
    const {timers} = this.context;
    return new Promise((settle) => {
      this.unannounced.push({origin, settle});
      if (this.unannounced.length === 1) {
        timers.after('streams/announce', ANNOUNCEMENT_DELAY_MS, () => {
          this.sendAnnouncements();
        });
      }
    });
  }

  /** Asks the keepers where a stream began. */
  ask(service: string, requestId: string): Promise<KeptOrigin> {
    const {acknowledgements} = this.surroundings();
    // Those that have left take their places: they may have been its keepers.
    const others = this.othersOf(this.everLive);
    const asked = rankByRendezvous(requestId, others).slice(0, HOSTS_ASKED);
    // Few enough to leave one that would know of an acknowledged stream. The host
    // that began it is surely among those asked only if all are.
    const silentAtMost =
      asked.length === others.length ? acknowledgements : acknowledgements - 1;
    return new Promise((resolve) => {
      let witnesses = 0;
      let answers = 0;
      const settle = (answer: StreamAnswer | undefined) => {
        answers += 1;
        if (answer?.softwareVersion !== undefined) {
          resolve({type: 'known', softwareVersion: answer.softwareVersion});
          return;
        }
        witnesses += answer?.witness === true ? 1 : 0;
        if (asked.length - witnesses <= silentAtMost) {
          resolve({type: 'not-announced'});
        } else if (answers === asked.length) {
          resolve({type: 'unknown'});
        }
      };
      if (asked.length === 0) {
        resolve({type: 'not-announced'});
      }
      for (const host of asked) {
        const answer = this.linkTo(host)?.queryStream(service, requestId);
        void Promise.resolve(answer).then(settle);
      }
    });
  }

  /** Other hosts of the last minute, and how many of them acknowledge. */
  private surroundings() {
    this.review();
    const others = this.othersOf(this.liveAt.keys());
    const acknowledgements = Math.min(ACKNOWLEDGEMENTS, others.length);
    return {others, acknowledgements};
  }

  private othersOf(hosts: Iterable<string>): readonly string[] {
    return [...hosts].filter((host) => host !== this.context.settings.host);
  }

  private sendReports(): void {
    const origins = this.unreported;
    this.unreported = [];
    for (const [host, list] of this.byKeeper(origins)) {
      for (let from = 0; from < list.length; from += MAXIMUM_REPORTED) {
        const part = list.slice(from, from + MAXIMUM_REPORTED);
        this.linkTo(host)?.reportStreams(part);
      }
    }
  }

  private sendAnnouncements(): void {
    const announcements = this.unannounced;
    this.unannounced = [];
    const {acknowledgements} = this.surroundings();
    const byKeeper = this.byKeeper(announcements.map(({origin}) => origin));
    const asked = new Map<string, Set<string>>();
    for (const [host, origins] of byKeeper) {
      addHost(asked, origins, host);
    }
    const confirmed = new Map<string, Set<string>>();
    const isConfirmed = (requestId: string) =>
      (confirmed.get(requestId)?.size ?? 0) >= acknowledgements;
    const settle = ({origin: {requestId}, settle: resolve}: Announcement) => {
      if (isConfirmed(requestId)) {
        resolve('acknowledged');
      } else if ((asked.get(requestId)?.size ?? 0) < acknowledgements) {
        resolve('too-few');
      }
    };
    announcements.forEach(settle);
    const calls = [...byKeeper].map(async ([host, origins]) => {
      if ((await this.linkTo(host)?.announceStreams(origins)) === true) {
        addHost(confirmed, origins, host);
        announcements.forEach(settle);
      }
    });
    void Promise.all(calls).then(() => {
      for (const {settle: resolve} of announcements) {
        // Changes nothing for those that have a receipt.
        resolve('no-answer');
      }
    });
  }

  private byKeeper(
    origins: readonly StreamOrigin[],
  ): ReadonlyMap<string, readonly StreamOrigin[]> {
    const {others} = this.surroundings();
    const live = new Set(this.context.membership.live().map(({host}) => host));
    const eligible =
      others.length > HOSTS_ASKED ? HOSTS_ASKED - JOINED_HOSTS : others.length;
    const byKeeper = new Map<string, StreamOrigin[]>();
    for (const origin of origins) {
      const keepers = rankByRendezvous(origin.requestId, others)
        .slice(0, eligible)
        .filter((host) => live.has(host));
      for (const host of keepers.slice(0, KEEPERS)) {
        const list = byKeeper.get(host) ?? [];
        list.push(origin);
        byKeeper.set(host, list);
      }
    }
    return byKeeper;
  }
}

/** Adds a host to those of each stream; it counts once for requests of one id. */
const addHost = (
  hosts: Map<string, Set<string>>,
  origins: readonly StreamOrigin[],
  host: string,
): void => {
  for (const {requestId} of origins) {
    hosts.set(requestId, (hosts.get(requestId) ?? new Set()).add(host));
  }
};
