import type {Instant} from '@basilworks/core';
import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {ProbeResult} from '../upstream/index.js';
import type {CloseEvidence} from './crash-guard.js';

/** A send that was in progress at a server when that crashed. */
export interface LostSend {
  readonly requestId: string;
  /** What it has in common with other requests; see `requestKeys`. */
  readonly keys: readonly string[];
  readonly sentAt: Instant;
}

/** A server that has crashed and this host's sends that were lost with it. */
export interface ServerCrash {
  readonly server: Server;
  /** When the first of the sends was lost. */
  readonly at: Instant;
  readonly sends: readonly LostSend[];
}

/** Receives what the ends of sends turn out to mean. */
export interface CrashObserver {
  /** A server has crashed; again with all lost sends if more are found. */
  crashed(crash: ServerCrash): void;
  /** An answer that ended with its connection was complete. */
  completed(send: LostSend): void;
}

/** Attempts a connection to a server, through a peer if need be. */
export type Probe = (server: Server) => Promise<ProbeResult>;

/** Whether a server is the one that an address was known for. */
export type ServerIdentity = 'same' | 'other' | 'unknown';

/** Asks whoever listens at a server's address whether it is that server. */
export type Identify = (server: Server) => Promise<ServerIdentity>;

/**
 * Delay before the first connection attempt, milliseconds: a process that ends
 * closes its connections and its listener in any order.
 */
const FIRST_PROBE_DELAY_MS = 30;

/** Delay before the second and last attempt, milliseconds. */
const SECOND_PROBE_DELAY_MS = 200;

/**
 * Time after which a crash is reported, milliseconds: enough to read the loss
 * of all connections of the server.
 */
const REPORT_DELAY_MS = 50;

/** How long lost sends of one server belong together, milliseconds. */
const CRASH_WINDOW_MS = 2_000;

/**
 * Time after which an answer that ended with its connection counts as complete
 * unless its server has crashed, milliseconds.
 */
const CLOSE_WINDOW_MS = 1_000;

/**
 * Other servers that show whether a refused connection is due to its server or
 * to the links of this host.
 */
const MAXIMUM_WITNESSES = 3;

/** The interrupted sends of one server instance. */
interface Interruption {
  readonly server: Server;
  readonly at: Instant;
  readonly sends: LostSend[];
  /** Sends whose answers ended with their connections. */
  readonly closed: Set<LostSend>;
  /** Whether connection attempts are under way. */
  probing: boolean;
  crashed: boolean;
  reportScheduled: boolean;
}

/**
 * Detects servers that have crashed with requests in progress. An interrupted
 * answer alone does not show a crash: one connection may have been reset, or
 * the link cut. A server has crashed if its port is closed afterwards.
 */
export class CrashDetector {
  private readonly interruptions = new Map<string, Interruption>();
  /** Connection attempts that have not begun, by server. */
  private readonly pendingProbes = new Map<string, Promise<CloseEvidence>>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly observer: CrashObserver,
    private readonly probe: Probe,
    private readonly identify: Identify,
  ) {}

  /** Records a send that its server interrupted. */
  recordInterrupted(server: Server, send: LostSend): void {
    const interruption = this.interruptionOf(server);
    interruption.sends.push(send);
    if (interruption.crashed) {
      this.scheduleReport(interruption);
    } else if (!interruption.probing) {
      interruption.probing = true;
      this.scheduleProbe(interruption, FIRST_PROBE_DELAY_MS, () => {
        this.scheduleProbe(interruption, SECOND_PROBE_DELAY_MS);
      });
    }
  }

  /**
   * Records an answer that ended with its connection. It is complete unless its
   * server has crashed: the end of a process closes its connections as well.
   */
  recordClosed(server: Server, send: LostSend): void {
    const interruption = this.interruptionOf(server);
    interruption.closed.add(send);
    if (interruption.crashed) {
      this.scheduleReport(interruption);
    }
    const {timers} = this.context;
    timers.after(`crashes/closed/${send.requestId}`, CLOSE_WINDOW_MS, () => {
      if (interruption.closed.delete(send)) {
        this.observer.completed(send);
      }
    });
  }

  /**
   * Finds out whether a server lives on after the end of one of its connections.
   * It is gone if it is not about to leave and refuses connections, those of a
   * peer too, or while other servers accept them: else the host's own links may
   * be cut. It is gone as well if another one answers at its address: the host may
   * read the end long after it was sent, and know of no later start yet.
   */
  checkClose(server: Server): Promise<CloseEvidence> {
    const {key} = server;
    const pending = this.pendingProbes.get(key);
    if (pending !== undefined) {
      return pending;
    }
    const {timers} = this.context;
    const probe = new Promise<CloseEvidence>((resolve) => {
      timers.after(`crashes/close/${key}`, FIRST_PROBE_DELAY_MS, () => {
        this.pendingProbes.delete(key);
        resolve(this.probeAfterClose(server));
      });
    });
    this.pendingProbes.set(key, probe);
    return probe;
  }

  private async probeAfterClose(server: Server): Promise<CloseEvidence> {
    const result = await this.probe(server);
    if (result === 'open') {
      const isGone =
        this.isReplaced(server) || (await this.identify(server)) === 'other';
      return isGone ? 'gone' : 'open';
    }
    if (result === 'silent') {
      return result;
    }
    if (this.isLeaving(server)) {
      return 'leaving';
    }
    if (result !== 'closed' && !(await this.reachesOthers(server))) {
      return 'unconfirmed';
    }
    this.recordUnreachable(server);
    return 'gone';
  }

  /** Whether a server that started later is known at the same address. */
  private isReplaced({entry: {host, port, startedAtWallMs}}: Server): boolean {
    return this.context.servers
      .all()
      .some(
        ({entry}) =>
          entry.host === host &&
          entry.port === port &&
          entry.startedAtWallMs > startedAtWallMs,
      );
  }

  private isLeaving({key, entry, notices}: Server): boolean {
    const {servers} = this.context;
    const current = servers.all().find((known) => known.key === key);
    return entry.leaving || notices.leaving || current?.entry.leaving === true;
  }

  /** Whether one of a few other servers accepts connections, if there are any. */
  private async reachesOthers({key}: Server): Promise<boolean> {
    const others = this.context.servers
      .all()
      .filter((known) => known.key !== key)
      .slice(0, MAXIMUM_WITNESSES);
    const results = await Promise.all(others.map(this.probe));
    return others.length === 0 || results.includes('open');
  }

  /** Records that a connection to a server was refused. */
  recordUnreachable(server: Server): void {
    const interruption = this.interruptions.get(server.key);
    if (interruption !== undefined) {
      this.confirm(interruption);
    }
  }

  private interruptionOf(server: Server): Interruption {
    const known = this.interruptions.get(server.key);
    if (known !== undefined) {
      return known;
    }
    const {clock, timers} = this.context;
    const interruption: Interruption = {
      server,
      at: clock.now(),
      sends: [],
      closed: new Set(),
      probing: false,
      crashed: false,
      reportScheduled: false,
    };
    this.interruptions.set(server.key, interruption);
    timers.after(`crashes/window/${server.key}`, CRASH_WINDOW_MS, () => {
      this.interruptions.delete(server.key);
    });
    return interruption;
  }

  private scheduleProbe(
    interruption: Interruption,
    delayMs: number,
    onOpen?: () => void,
  ): void {
    const {timers, signal} = this.context;
    const {server} = interruption;
    const {key} = server;
    timers.after(`crashes/probe/${key}`, delayMs, () => {
      void this.probe(server).then((result) => {
        if (signal.aborted) {
          return;
        }
        if (result === 'open' && onOpen !== undefined) {
          onOpen();
          return;
        }
        interruption.probing = false;
        if (result === 'refused' || result === 'closed') {
          this.confirm(interruption);
        }
      });
    });
  }

  private confirm(interruption: Interruption): void {
    const {entry, notices} = interruption.server;
    const {crashed, sends, closed} = interruption;
    if (crashed || sends.length + closed.size === 0) {
      return;
    }
    if (entry.leaving || notices.leaving) {
      // The planned end of a server is no crash.
      return;
    }
    interruption.crashed = true;
    this.context.metrics.serverCrashes.inc({service: entry.service});
    this.scheduleReport(interruption);
  }

  private scheduleReport(interruption: Interruption): void {
    if (interruption.reportScheduled) {
      return;
    }
    interruption.reportScheduled = true;
    const {server, at, sends, closed} = interruption;
    const {timers} = this.context;
    timers.after(`crashes/report/${server.key}`, REPORT_DELAY_MS, () => {
      interruption.reportScheduled = false;
      sends.push(...closed);
      closed.clear();
      this.observer.crashed({server, at, sends: [...sends]});
    });
  }
}
