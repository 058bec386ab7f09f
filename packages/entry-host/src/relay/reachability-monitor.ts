import {elapsedMs, type Instant} from '@basilworks/core';
import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {UpstreamPools} from '../upstream/index.js';
import type {ServerDialer} from './server-dialer.js';

/** Interval of reviews, milliseconds. */
const REVIEW_PERIOD_MS = 200;

/** Interval of direct connections to servers that are not reached, ms. */
const PROBE_PERIOD_MS = 250;

/** Servers that are not reached and probed at a time. */
const PROBED_SERVERS = 4;

/**
 * Time without a byte from any server of a service, while several servers have
 * requests to answer, after which their connections are in doubt, milliseconds;
 * and while only one has, or others of its service answer.
 */
const SILENCE_MS = 300;
const SINGLE_SERVER_SILENCE_MS = 800;

/** Minimum interval between two checks of a server in doubt, milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Servers that are checked in one review. */
const CHECKED_SERVERS = 3;

/** Finds out which servers only this host can't reach, and when no more. */
export class ReachabilityMonitor {
  private readonly checkedAt = new Map<string, Instant>();
  private probedAt: Instant | undefined;
  private probes = 0;
  /** Servers that were not reached at the latest review, with the time since. */
  private unreached: ReadonlyMap<string, Instant> = new Map();

  constructor(
    private readonly context: EntryHostContext,
    private readonly dialer: Pick<ServerDialer, 'check' | 'probe'>,
    private readonly pools: Pick<UpstreamPools, 'closeIdle'>,
    /** Called when the servers that this host reaches have changed. */
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

  private review(): void {
    const {paths, servers, clock} = this.context;
    const at = clock.now();
    const unreached = paths.isImpaired
      ? servers.all().filter((server) => paths.usesRelay(server))
      : [];
    this.probe(unreached, at);
    this.checkSilentServers(at);
    if (this.applyUnreached(unreached, at)) {
      this.onChange();
    }
  }

  /** Applies which servers are not reached; true if they have changed. */
  private applyUnreached(unreached: readonly Server[], at: Instant): boolean {
    const {logger, paths, servers} = this.context;
    const before = this.unreached;
    const since = (key: string) => before.get(key) ?? at;
    this.unreached = new Map(unreached.map(({key}) => [key, since(key)]));
    const added = unreached.filter(({key}) => !before.has(key));
    for (const server of added) {
      const {id, service} = server.entry;
      const silent = paths.isSilent(service);
      const all = paths.isCutFrom(service);
      logger.warn('server reached through peers only', {
        server: id,
        silent,
        allOfService: all,
      });
      if (silent) {
        // Its open connections hang.
        this.pools.closeIdle('direct', server);
      }
    }
    const removed = [...before].filter(([key]) => !this.unreached.has(key));
    for (const [key, unreachedSince] of removed) {
      const server = servers.get(key);
      if (server !== undefined) {
        logger.warn('server reached directly again', {
          server: server.entry.id,
          unreachedMs: Math.round(elapsedMs(unreachedSince, at)),
        });
        this.pools.closeIdle('relay', server);
      }
    }
    return added.length + removed.length > 0;
  }

  /** Attempts direct connections to some of the servers, in turn. */
  private probe(unreached: readonly Server[], at: Instant): void {
    if (
      this.probedAt !== undefined &&
      elapsedMs(this.probedAt, at) < PROBE_PERIOD_MS
    ) {
      return;
    }
    this.probedAt = at;
    const count = Math.min(PROBED_SERVERS, unreached.length);
    for (let index = 0; index < count; index += 1) {
      const server = unreached[this.probes % unreached.length];
      this.probes += 1;
      if (server !== undefined) {
        this.dialer.probe(server);
      }
    }
  }

  /** Checks connections to servers that let requests wait in silence. */
  private checkSilentServers(at: Instant): void {
    const {servers, paths} = this.context;
    const waiting = servers
      .all()
      .filter(
        (server) =>
          server.health.silentMs(at) >= SILENCE_MS && !paths.usesRelay(server),
      );
    const doubted = waiting.filter(
      ({health, entry: {service}}) =>
        health.silentMs(at) >= SINGLE_SERVER_SILENCE_MS ||
        paths.isImpaired ||
        (paths.silentMs(service, at) >= SILENCE_MS && waiting.length >= 2),
    );
    for (const server of doubted.slice(0, CHECKED_SERVERS)) {
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
