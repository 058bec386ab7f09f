import {ServerHealth, ServerNotices, type Server} from '@basilworks/dispatch';

import {
  FleetSimulation,
  serverEntry,
  type SimulatedHost,
} from '../views/fleet-simulation.js';

/** Time until a crashed server is replaced, milliseconds. */
const RESTART_MS = 3_000;

/** Shortest and longest time to a complete answer, milliseconds. */
const SHORTEST_ANSWER_MS = 200;
const LONGEST_ANSWER_MS = 2_000;

/** Time from a send to the crash that it causes, milliseconds. */
const CRASH_DELAY_MS = 60;

/** Shared first part of most prompts. */
const COMMON_KEY = 'part/common';

/** First part of few prompts, those that crash servers included. */
export const RARE_KEY = 'part/rare';

/** Number of other shared parts; few of them are in most prompts. */
const OTHER_KEYS = 300;

/** Share of sound requests of short sessions, which have parts of their own. */
const SESSION_SHARE = 0.1;

/** Sessions at a time, and how long each lasts, milliseconds. */
const SESSIONS = 20;
const SESSION_MS = 5_000;

/** Share of sound requests whose first part is the rare one. */
const RARE_SHARE = 0.02;

interface RunningSend {
  readonly host: SimulatedHost;
  readonly keys: readonly string[];
  readonly sentAtMs: number;
  ended: boolean;
}

interface SimulatedServer {
  readonly server: Server;
  readonly running: Set<RunningSend>;
}

/** A request that crashes servers and reached one. */
export interface CrashingArrival {
  readonly key: string;
  readonly atMs: number;
  /** When its host was started. */
  readonly hostStartedAtMs: number;
}

/** Requests that crash servers, and sound ones, sent by a simulated fleet. */
export class CrashSimulation {
  readonly fleet: FleetSimulation;
  readonly arrivals: CrashingArrival[] = [];
  /** Times of the crashes that a key has caused. */
  readonly crashesBy = new Map<string, number[]>();
  /** Keys of sound requests that a host refused. */
  readonly refusedSoundKeys = new Set<string>();
  private readonly servers = new Map<string, SimulatedServer>();
  private readonly startedAtMs = new Map<string, number>();
  private serial = 0;

  constructor(
    hosts: number,
    private readonly serverCount: number,
    private readonly random: () => number,
  ) {
    this.fleet = new FleetSimulation(hosts);
  }

  async start(): Promise<void> {
    await this.fleet.start();
    for (const name of this.fleet.names) {
      this.startedAtMs.set(name, 0);
    }
    for (let index = 0; index < this.serverCount; index += 1) {
      this.addServer();
    }
  }

  /** Sends sound requests until `untilMs`. */
  sendSound(perSecond: number, untilMs: number): void {
    this.sendAtRate(perSecond, untilMs, () => {
      const rare = this.random() < RARE_SHARE;
      this.send([rare ? RARE_KEY : COMMON_KEY, this.pickSoundKey()], false);
    });
  }

  /**
   * Sends requests with a key that crashes servers until `untilMs`. They have
   * `keys` as well.
   */
  sendCrashing(
    key: string,
    perSecond: number,
    untilMs: number,
    keys: readonly string[] = [RARE_KEY],
  ): void {
    this.sendAtRate(perSecond, untilMs, () => {
      this.send([...keys, key], true);
    });
  }

  /** Crashes servers for a reason outside of their requests. */
  crashServers(count: number): void {
    for (const {server} of [...this.servers.values()].slice(0, count)) {
      this.crash(server.key);
    }
  }

  /** Kills a host and starts it again after a second. */
  restartHost(name: string): void {
    const {time} = this.fleet;
    this.fleet.host(name).close();
    time.after(1_000, () => {
      this.startedAtMs.set(name, time.nowMs);
      this.fleet.startHost(name);
    });
  }

  private pickSoundKey(): string {
    if (this.random() < SESSION_SHARE) {
      const since = Math.floor(this.fleet.time.nowMs / SESSION_MS);
      return `part/session-${since}-${Math.floor(this.random() * SESSIONS)}`;
    }
    return `part/other-${Math.floor(this.random() ** 3 * OTHER_KEYS)}`;
  }

  private sendAtRate(
    perSecond: number,
    untilMs: number,
    send: () => void,
  ): void {
    const {time} = this.fleet;
    const gapMs = (-Math.log(1 - this.random()) * 1_000) / perSecond;
    time.after(gapMs, () => {
      if (time.nowMs < untilMs) {
        send();
        this.sendAtRate(perSecond, untilMs, send);
      }
    });
  }

  private send(keys: readonly string[], crashing: boolean): void {
    const {time, names} = this.fleet;
    const host = this.fleet.host(pick(names, this.random));
    const servers = [...this.servers.values()];
    if (!host.running || !host.crashes.isReady() || servers.length === 0) {
      return;
    }
    const refused = host.crashes.quarantined(() => keys);
    if (refused !== undefined) {
      if (!crashing) {
        this.refusedSoundKeys.add(refused);
      }
      return;
    }
    const target = pick(servers, this.random);
    const send = {host, keys, sentAtMs: time.nowMs, ended: false};
    target.running.add(send);
    if (crashing) {
      const key = keys.at(-1) ?? '';
      this.arrivals.push({
        key,
        atMs: time.nowMs,
        hostStartedAtMs: this.startedAtMs.get(host.name) ?? 0,
      });
      time.after(CRASH_DELAY_MS, () => {
        if (!send.ended) {
          const crashes = this.crashesBy.get(key) ?? [];
          this.crashesBy.set(key, [...crashes, time.nowMs]);
          this.crash(target.server.key);
        }
      });
      return;
    }
    const spreadMs = LONGEST_ANSWER_MS - SHORTEST_ANSWER_MS;
    time.after(SHORTEST_ANSWER_MS + spreadMs * this.random(), () => {
      if (!send.ended) {
        send.ended = true;
        target.running.delete(send);
        if (!host.closed) {
          host.crashes.recordCompleted(keys);
        }
      }
    });
  }

  private crash(key: string): void {
    const {time} = this.fleet;
    const crashed = this.servers.get(key);
    if (crashed === undefined) {
      return;
    }
    this.servers.delete(key);
    const {server, running} = crashed;
    this.fleet.closedPorts.add(server.entry.port);
    for (const send of running) {
      send.ended = true;
      const {host, keys, sentAtMs} = send;
      if (!host.closed) {
        host.crashes.recordInterrupted(server, {
          requestId: `${(this.serial += 1)}`,
          keys,
          sentAt: {monotonicMs: sentAtMs, wallMs: sentAtMs},
        });
      }
    }
    time.after(RESTART_MS, () => {
      this.addServer();
    });
  }

  private addServer(): void {
    const port = (this.serial += 1);
    const key = `server-${port}`;
    const server: Server = {
      key,
      entry: {...serverEntry(key), port},
      revision: 1,
      health: new ServerHealth(),
      notices: new ServerNotices(),
      outageEndedAt: undefined,
    };
    this.servers.set(key, {server, running: new Set()});
  }
}

const pick = <Item>(items: readonly Item[], random: () => number): Item => {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
};
