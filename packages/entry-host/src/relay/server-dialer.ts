import type {HostEntry, Server, ServerEntry} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {
  type ConnectSocket,
  type Dial,
  dialDirectly,
  type DialFailure,
  type DialObserver,
  type ProbeResult,
  type ServerDials,
  type UpstreamAddress,
} from '../upstream/index.js';
import type {RelayResult, RelaySessions} from './relay-sessions.js';

/**
 * Time that a direct connection attempt has before one through a peer begins as
 * well, milliseconds: a server in another zone answers in a few.
 */
const RELAY_DELAY_MS = 150;

/**
 * Peers through which one connection is attempted at most. A server counts as
 * unreachable if none of them reaches it: some may be cut off themselves.
 */
const MAXIMUM_RELAYS = 4;

/**
 * Time that an attempt through one peer has before one through the next begins
 * as well, milliseconds.
 */
const NEXT_RELAY_DELAY_MS = 50;

/** Connects to servers: directly or, if that fails, through a peer. */
export class ServerDialer {
  private serial = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly sessions: Pick<RelaySessions, 'open'>,
    private readonly connectSocket?: ConnectSocket,
  ) {}

  /** Returns the ways to connect to a server. */
  dialsFor(server: Server): ServerDials {
    const direct = this.observed(server, this.directTo(server.entry));
    return {
      direct,
      any: (observer) =>
        this.context.paths.usesRelay(server)
          ? this.dialRelayed(server.entry, direct, observer)
          : this.dialEither(server, observer),
    };
  }

  /** Attempts a connection, also through peers, and closes it. */
  check(server: Server): Promise<ProbeResult> {
    return new Promise((resolve) => {
      this.dialsFor(server).any({
        connected: ({stream}) => {
          stream.destroy();
          resolve('open');
        },
        failed: ({refused, confirmedByPeer = false}) => {
          const refusal = confirmedByPeer ? 'closed' : 'refused';
          resolve(refused ? refusal : 'silent');
        },
      });
    });
  }

  /** Attempts a direct connection and closes it. */
  probe(server: Server): void {
    this.observed(
      server,
      this.directTo(server.entry),
    )({
      connected: ({stream}) => {
        stream.destroy();
      },
      failed: () => {
        this.context.paths.recordUnreached(server);
      },
    });
  }

  private directTo({host, port}: UpstreamAddress): Dial {
    return dialDirectly({host, port}, this.context.timers, this.connectSocket);
  }

  /** Records direct connections that were established. */
  private observed(server: Server, dial: Dial): Dial {
    return (observer) =>
      dial({
        ...observer,
        connected: (transport) => {
          const {paths, clock} = this.context;
          paths.recordDirect(server, this.sizeOf(server), clock.now());
          observer.connected(transport);
        },
      });
  }

  /** Connects through peers; directly if none can. */
  private dialRelayed(
    entry: ServerEntry,
    direct: Dial,
    observer: DialObserver,
  ): () => void {
    const abort = new AbortController();
    let cancelDirect: (() => void) | undefined;
    void this.openRelayed(entry, abort.signal).then((result) => {
      this.countRelayed(result);
      if (abort.signal.aborted) {
        discard(result);
      } else if (result.type === 'connected') {
        observer.connected(result.transport);
      } else if (result.type === 'unavailable') {
        cancelDirect = direct(observer);
      } else {
        observer.failed(failureOf(result));
      }
    });
    return () => {
      abort.abort();
      cancelDirect?.();
    };
  }

  /** Connects directly, and through peers if that fails or takes long. */
  private dialEither(server: Server, observer: DialObserver): () => void {
    const {timers, paths, clock} = this.context;
    const {entry} = server;
    const abort = new AbortController();
    const timer = `relay/delay/${(this.serial += 1)}`;
    let directFailure: DialFailure | undefined;
    let relayResult: RelayResult | undefined;
    let relayStarted = false;
    const settle = () => {
      timers.cancel(timer);
      abort.abort();
    };
    const failIfBothFailed = () => {
      if (directFailure !== undefined && relayResult !== undefined) {
        settle();
        // A refusal that a peer does not confirm may be one of the link.
        const refused = directFailure.refused && relayResult.type !== 'silent';
        const confirmedByPeer = relayResult.type === 'refused';
        observer.failed({...directFailure, refused, confirmedByPeer});
      }
    };
    const startRelay = () => {
      if (relayStarted) {
        return;
      }
      relayStarted = true;
      timers.cancel(timer);
      void this.openRelayed(entry, abort.signal).then((result) => {
        this.countRelayed(result);
        if (abort.signal.aborted) {
          discard(result);
        } else if (result.type === 'connected') {
          settle();
          cancelDirect();
          const refused = directFailure?.reason === 'unreachable';
          const known = this.sizeOf(server);
          paths.recordRelayed(server, refused, known, clock.now());
          observer.connected(result.transport);
        } else {
          relayResult = result;
          failIfBothFailed();
        }
      });
    };
    timers.after(timer, RELAY_DELAY_MS, startRelay);
    const direct = this.observed(server, this.directTo(entry));
    const cancelDirect = direct({
      connected: (transport) => {
        settle();
        observer.connected(transport);
      },
      failed: (failure) => {
        directFailure = failure;
        startRelay();
        failIfBothFailed();
      },
    });
    return () => {
      settle();
      cancelDirect();
    };
  }

  /**
   * Attempts a connection through a few peers. The next one is asked when one
   * has failed or takes long; the first connection is used.
   */
  private openRelayed(
    entry: ServerEntry,
    signal: AbortSignal,
  ): Promise<RelayResult> {
    const {timers, logger} = this.context;
    const relays = this.relays(entry.id);
    const timer = `relay/next/${(this.serial += 1)}`;
    const settled = new AbortController();
    const anySignal = AbortSignal.any([signal, settled.signal]);
    let latest: RelayResult = {type: 'unavailable'};
    let pending = 0;
    return new Promise((resolve) => {
      const settle = (result: RelayResult) => {
        timers.cancel(timer);
        signal.removeEventListener('abort', giveUp);
        settled.abort();
        resolve(result);
      };
      const giveUp = () => {
        settle({type: 'unavailable'});
      };
      const handle = (peer: string, result: RelayResult) => {
        pending -= 1;
        if (settled.signal.aborted) {
          discard(result);
          return;
        }
        if (result.type === 'connected') {
          settle(result);
          return;
        }
        logger.info('peer opened no connection', {
          peer,
          server: entry.id,
          result: result.type,
        });
        latest = result.type === 'unavailable' ? latest : result;
        askNext();
      };
      const askNext = () => {
        const relay = relays.shift();
        if (relay !== undefined) {
          pending += 1;
          timers.after(timer, NEXT_RELAY_DELAY_MS, askNext);
          void this.sessions
            .open(relay.relayAddress, entry, anySignal)
            .then((result) => {
              handle(relay.host, result);
            });
        } else if (pending === 0) {
          settle(latest);
        }
      };
      signal.addEventListener('abort', giveUp, {once: true});
      askNext();
    });
  }

  /**
   * Peers to connect through that are not known to be cut from the server: at
   * random, so that they share the load, but of different zones first, as the
   * hosts of a zone may be cut together.
   */
  private relays(server: string): RelayHost[] {
    const {membership, random, settings} = this.context;
    const remaining = membership
      .live()
      .filter(
        (entry): entry is RelayHost =>
          entry.host !== settings.host &&
          entry.relayAddress !== undefined &&
          entry.cutFromServers !== true &&
          entry.unreachedServers?.includes(server) !== true,
      );
    const chosen: RelayHost[] = [];
    while (chosen.length < MAXIMUM_RELAYS && remaining.length > 0) {
      const zones = new Set(chosen.map(({zone}) => zone));
      const elsewhere = remaining.filter(({zone}) => !zones.has(zone));
      const candidates = elsewhere.length > 0 ? elsewhere : remaining;
      const peer = candidates[Math.floor(random() * candidates.length)];
      if (peer === undefined) {
        break;
      }
      remaining.splice(remaining.indexOf(peer), 1);
      chosen.push(peer);
    }
    return chosen;
  }

  /** Number of servers of a server's service. */
  private sizeOf({entry: {service}}: Server): number {
    return this.context.servers
      .all()
      .filter(({entry}) => entry.service === service).length;
  }

  private countRelayed({type}: RelayResult): void {
    const {metrics} = this.context;
    metrics.relayedConnections.inc({role: 'user', end: type});
  }
}

/** A peer that relays connections. */
type RelayHost = HostEntry & {readonly relayAddress: string};

const discard = (result: RelayResult): void => {
  if (result.type === 'connected') {
    result.transport.stream.destroy();
  }
};

const failureOf = ({type}: RelayResult): DialFailure => ({
  reason: type === 'refused' ? 'unreachable' : 'connect-timeout',
  detail: `peers found the server ${type}`,
  refused: type === 'refused',
  confirmedByPeer: type === 'refused',
});
