import type {HostEntry, Server} from '@basilworks/dispatch';

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

/** Peers through which one connection is attempted at most. */
const MAXIMUM_RELAYS = 3;

/**
 * Peers that have to find a server unreachable before it counts as that: the
 * first may be cut off itself.
 */
const CONFIRMING_RELAYS = 2;

/** Connects to servers: directly or, if that fails, through a peer. */
export class ServerDialer {
  private serial = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly sessions: Pick<RelaySessions, 'open'>,
    private readonly connectSocket?: ConnectSocket,
  ) {}

  /** Returns the ways to connect to a server. */
  dialsFor({key, entry}: Server): ServerDials {
    const {host, port} = entry;
    const address = {host, port};
    const direct = this.observed(key, this.directTo(address));
    return {
      direct,
      any: (observer) =>
        this.context.paths.usesRelay(key, this.context.clock.now())
          ? this.dialRelayed(address, direct, observer)
          : this.dialEither(key, address, observer),
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
        failed: ({refused}) => {
          resolve(refused ? 'refused' : 'silent');
        },
      });
    });
  }

  /** Attempts a direct connection and closes it. */
  probe({key, entry}: Server): void {
    const {host, port} = entry;
    this.observed(
      key,
      this.directTo({host, port}),
    )({
      connected: ({stream}) => {
        stream.destroy();
      },
      failed: () => {
        this.context.paths.recordUnreached();
      },
    });
  }

  private directTo(address: UpstreamAddress): Dial {
    return dialDirectly(address, this.context.timers, this.connectSocket);
  }

  /** Records direct connections that were established. */
  private observed(server: string, dial: Dial): Dial {
    return (observer) =>
      dial({
        ...observer,
        connected: (transport) => {
          const {paths, clock, servers} = this.context;
          paths.recordDirect(server, servers.all().length, clock.now());
          observer.connected(transport);
        },
      });
  }

  /** Connects through peers; directly if none can. */
  private dialRelayed(
    address: UpstreamAddress,
    direct: Dial,
    observer: DialObserver,
  ): () => void {
    const abort = new AbortController();
    let cancelDirect: (() => void) | undefined;
    void this.openRelayed(address, abort.signal).then((result) => {
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
  private dialEither(
    server: string,
    address: UpstreamAddress,
    observer: DialObserver,
  ): () => void {
    const {timers, paths, clock, servers} = this.context;
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
        observer.failed({...directFailure, refused});
      }
    };
    const startRelay = () => {
      if (relayStarted) {
        return;
      }
      relayStarted = true;
      timers.cancel(timer);
      void this.openRelayed(address, abort.signal).then((result) => {
        this.countRelayed(result);
        if (abort.signal.aborted) {
          discard(result);
        } else if (result.type === 'connected') {
          settle();
          cancelDirect();
          const refused = directFailure?.reason === 'unreachable';
          const known = servers.all().length;
          paths.recordRelayed(server, refused, known, clock.now());
          observer.connected(result.transport);
        } else {
          relayResult = result;
          failIfBothFailed();
        }
      });
    };
    timers.after(timer, RELAY_DELAY_MS, startRelay);
    const direct = this.observed(server, this.directTo(address));
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

  /** Attempts a connection through a few peers, one after the other. */
  private async openRelayed(
    address: UpstreamAddress,
    signal: AbortSignal,
  ): Promise<RelayResult> {
    let latest: RelayResult = {type: 'unavailable'};
    let confirmations = 0;
    for (const {relayAddress} of this.relays()) {
      const result = await this.sessions.open(relayAddress, address, signal);
      if (result.type === 'connected' || signal.aborted) {
        return result;
      }
      if (result.type !== 'unavailable') {
        latest = result;
        confirmations += 1;
      }
      if (confirmations === CONFIRMING_RELAYS) {
        break;
      }
    }
    return latest;
  }

  /** Peers to connect through, at random so that they share the load. */
  private relays(): readonly RelayHost[] {
    const {membership, random, settings} = this.context;
    const peers = membership
      .live()
      .filter(
        (entry): entry is RelayHost =>
          entry.host !== settings.host &&
          entry.relayAddress !== undefined &&
          entry.cutFromServers !== true,
      );
    const chosen: RelayHost[] = [];
    while (chosen.length < MAXIMUM_RELAYS && peers.length > 0) {
      const [peer] = peers.splice(Math.floor(random() * peers.length), 1);
      chosen.push(...(peer === undefined ? [] : [peer]));
    }
    return chosen;
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
});
