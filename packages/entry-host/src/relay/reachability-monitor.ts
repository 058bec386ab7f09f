import {elapsedMs, type Instant} from '@basilworks/core';
import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {UpstreamPools} from '../upstream/index.js';
import type {ServerDialer} from './server-dialer.js';

/** Interval of reviews, milliseconds. */
const REVIEW_PERIOD_MS = 200;

/** Interval of direct connection attempts of a host that is cut, ms. */
const PROBE_PERIOD_MS = 250;

/**
 * Time without a byte from any server, while several have requests to answer,
 * after which their connections are in doubt, milliseconds; and while only one
 * has.
 */
const SILENCE_MS = 300;
const SINGLE_SERVER_SILENCE_MS = 800;

/** Minimum interval between two checks of a server in doubt, milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Servers that are checked in one review. */
const CHECKED_SERVERS = 3;

/** Finds out whether this host is cut from all servers, and when no more. */
export class ReachabilityMonitor {
  private readonly checkedAt = new Map<string, Instant>();
  private probedAt: Instant | undefined;
  private probes = 0;
  private wasCut = false;
  private cutSince: Instant | undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly dialer: ServerDialer,
    private readonly pools: Pick<UpstreamPools, 'closeIdle'>,
    /** Called when this host becomes cut or is no longer. */
    private readonly onChange: () => void,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'relay/review',
      REVIEW_PERIOD_MS,
      () => {
        this.review();
      },
      {signal},
    );
  }

  /** Time for which this host has been cut from all servers, milliseconds. */
  cutMs(at: Instant): number {
    return this.cutSince === undefined ? 0 : elapsedMs(this.cutSince, at);
  }

  private review(): void {
    const {paths, clock} = this.context;
    const at = clock.now();
    if (paths.isCut) {
      this.probe(at);
    } else {
      this.checkSilentServers(at);
    }
    if (paths.isCut !== this.wasCut) {
      this.wasCut = paths.isCut;
      this.applyChange(at);
    }
  }

  private applyChange(at: Instant): void {
    const {logger, paths} = this.context;
    if (paths.isCut) {
      this.cutSince = at;
      logger.warn('cut from all servers, connecting through peers');
      if (paths.isSilent) {
        this.pools.closeIdle('direct');
      }
    } else {
      const cutMs = Math.round(this.cutMs(at));
      this.cutSince = undefined;
      logger.warn('servers are reached directly again', {cutMs});
      this.pools.closeIdle('relay');
    }
    this.onChange();
  }

  /** Attempts a direct connection to one server after the other. */
  private probe(at: Instant): void {
    const {servers} = this.context;
    if (
      this.probedAt !== undefined &&
      elapsedMs(this.probedAt, at) < PROBE_PERIOD_MS
    ) {
      return;
    }
    const known = servers.all();
    const server = known[this.probes % Math.max(1, known.length)];
    if (server !== undefined) {
      this.probes += 1;
      this.probedAt = at;
      this.dialer.probe(server);
    }
  }

  /** Checks connections if all servers with open requests are silent. */
  private checkSilentServers(at: Instant): void {
    const {servers, paths} = this.context;
    const silentMs = paths.silentMs(at);
    if (silentMs < SILENCE_MS) {
      return;
    }
    const waiting = servers
      .all()
      .filter(({health}) => health.silentMs(at) >= SILENCE_MS);
    if (waiting.length < 2 && silentMs < SINGLE_SERVER_SILENCE_MS) {
      return;
    }
    for (const server of waiting.slice(0, CHECKED_SERVERS)) {
      this.check(server, at);
    }
  }

  private check(server: Server, at: Instant): void {
    const checkedAt = this.checkedAt.get(server.key);
    if (
      checkedAt !== undefined &&
      elapsedMs(checkedAt, at) < CHECK_INTERVAL_MS
    ) {
      return;
    }
    this.checkedAt.set(server.key, at);
    for (const [key, checked] of this.checkedAt) {
      if (elapsedMs(checked, at) > CHECK_INTERVAL_MS) {
        this.checkedAt.delete(key);
      }
    }
    void this.dialer.check(server);
  }
}
