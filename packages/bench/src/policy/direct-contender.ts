import type {EngineRequest} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';
import type {Arena, Contender} from './contender.js';
import {ENGINE_OPTIONS} from './deployments.js';
import {
  type DirectServer,
  type DirectSlot,
  idleSlots,
  newDirectServer,
} from './direct-server.js';

/** Choices in which the policies of comparison differ. */
export interface DirectStrategy {
  readonly chooseServer: (
    arrival: Arrival,
    servers: readonly DirectServer[],
  ) => DirectServer | undefined;
  readonly chooseVictim: (
    idle: readonly DirectSlot[],
  ) => DirectSlot | undefined;
  /** Priority that the engine is given; smaller runs first. */
  readonly enginePriority: (arrival: Arrival) => number;
  /** Order of the loads that wait; undefined leaves first come first. */
  readonly loadOrder: ((first: Arrival, second: Arrival) => number) | undefined;
}

/** Delay before a failed load is tried again. */
const LOAD_RETRY_MS = 500;

/** Sends each request to an engine at once, loading adapters on demand. */
export class DirectContender implements Contender {
  private servers: DirectServer[];
  private readonly assigned = new Map<string, DirectServer>();
  private loadsInTransit = 0;

  constructor(
    private readonly arena: Arena,
    private readonly strategy: DirectStrategy,
  ) {
    this.servers = [...arena.engines].map(([server, engine]) =>
      newDirectServer(server, engine),
    );
  }

  submit(arrival: Arrival): void {
    const {recorder, scheduler} = this.arena;
    recorder.arrived(arrival);
    scheduler.schedule(arrival.deadlineMs, () => {
      this.expire(arrival);
    });
    this.assign(arrival);
  }

  loseServers(servers: readonly string[]): void {
    const lost = this.servers.filter(({server}) => servers.includes(server));
    this.servers = this.servers.filter((server) => !lost.includes(server));
    for (const server of lost) {
      this.reassignWaiting(server);
    }
  }

  private assign(arrival: Arrival): void {
    this.servers.forEach((server) => {
      this.noticeRestart(server);
    });
    const server = this.strategy.chooseServer(arrival, this.servers);
    if (server === undefined) {
      return;
    }
    this.assigned.set(arrival.requestId, server);
    server.outstanding += 1;
    if (server.slots.get(arrival.key)?.state === 'ready') {
      this.dispatch(server, arrival);
      return;
    }
    const stalled = server.stalled.get(arrival.key) ?? [];
    server.stalled.set(arrival.key, [...stalled, arrival]);
    if (stalled.length === 0 && !server.slots.has(arrival.key)) {
      server.wanted.push(arrival);
    }
    this.startLoads();
  }

  /** An engine that restarted holds nothing. */
  private noticeRestart(server: DirectServer): void {
    if (server.incarnation === server.engine.incarnation) {
      return;
    }
    server.incarnation = server.engine.incarnation;
    for (const {key} of server.slots.values()) {
      this.arena.recorder.evicted(server.server, key);
    }
    server.slots.clear();
    this.reassignWaiting(server);
  }

  private reassignWaiting(server: DirectServer): void {
    const waiting = [...[...server.stalled.values()].flat(), ...server.backlog];
    server.stalled.clear();
    server.backlog = [];
    server.wanted = [];
    for (const arrival of waiting) {
      server.outstanding -= 1;
      this.assign(arrival);
    }
  }

  private startLoads(): void {
    const {loadOrder} = this.strategy;
    for (const server of this.servers) {
      if (loadOrder) {
        server.wanted.sort(loadOrder);
      }
      while (server.wanted.length > 0 && this.mayLoad(server)) {
        const arrival = server.wanted.shift();
        if (arrival) {
          this.load(server, arrival);
        }
      }
    }
  }

  /** Whether there is a slot, and with ordered loads also a turn. */
  private mayLoad(server: DirectServer): boolean {
    const hasSlot =
      server.slots.size < ENGINE_OPTIONS.slots || this.evictOne(server);
    const {loadOrder} = this.strategy;
    const {fullSpeedLoads} = this.arena.deployment.weightStore;
    return hasSlot && (!loadOrder || this.loadsInTransit < fullSpeedLoads);
  }

  private evictOne(server: DirectServer): boolean {
    const victim = this.strategy.chooseVictim(idleSlots(server));
    if (victim === undefined) {
      return false;
    }
    server.engine.unload({...victim, fencingNumber: 1});
    server.slots.delete(victim.key);
    this.arena.recorder.evicted(server.server, victim.key);
    return true;
  }

  private load(server: DirectServer, arrival: Arrival): void {
    const {adapter, version, key} = arrival;
    const slot: DirectSlot = {
      key,
      adapter,
      version,
      state: 'loading',
      users: 0,
      lastUsedMs: this.arena.scheduler.nowMs(),
    };
    server.slots.set(key, slot);
    this.loadsInTransit += 1;
    const order = {adapter, version, fencingNumber: 1};
    server.engine.load(order, (outcome) => {
      this.loadsInTransit -= 1;
      if (server.slots.get(key) !== slot) {
        this.startLoads();
        return;
      }
      if (outcome === 'done') {
        slot.state = 'ready';
        this.arena.recorder.loaded(server.server, key);
        this.releaseStalled(server, key);
      } else {
        server.slots.delete(key);
        this.retryLoad(server, arrival);
      }
      this.startLoads();
    });
  }

  private retryLoad(server: DirectServer, arrival: Arrival): void {
    this.arena.scheduler.schedule(LOAD_RETRY_MS, () => {
      if (server.stalled.has(arrival.key)) {
        server.wanted.push(arrival);
        this.startLoads();
      }
    });
  }

  private releaseStalled(server: DirectServer, key: string): void {
    const nowMs = this.arena.scheduler.nowMs();
    const stalled = server.stalled.get(key) ?? [];
    server.stalled.delete(key);
    for (const arrival of stalled) {
      this.arena.recorder.stalled(arrival.requestId, nowMs - arrival.atMs);
      this.dispatch(server, arrival);
    }
  }

  private dispatch(server: DirectServer, arrival: Arrival): void {
    const slot = server.slots.get(arrival.key);
    if (slot === undefined) {
      return;
    }
    const refusal = server.engine.run(this.toEngineRequest(arrival), {
      onProgress: () => undefined,
      onEnd: (end) => {
        slot.users -= 1;
        this.finish(server, arrival, end === 'complete');
      },
    });
    if (refusal === 'queue-full') {
      server.backlog.push(arrival);
    } else if (refusal === undefined) {
      slot.users += 1;
      slot.lastUsedMs = this.arena.scheduler.nowMs();
      this.arena.recorder.used(server.server, arrival.key);
    } else {
      this.finish(server, arrival, false);
    }
  }

  private toEngineRequest(arrival: Arrival): EngineRequest {
    return {
      executionId: arrival.requestId,
      requestId: arrival.requestId,
      member: arrival.member,
      adapter: arrival.adapter,
      version: arrival.version,
      fencingNumber: 1,
      priority: this.strategy.enginePriority(arrival),
      prefixDigest: arrival.prefixDigest,
      tokens: arrival.tokens,
    };
  }

  private finish(
    server: DirectServer,
    arrival: Arrival,
    isComplete: boolean,
  ): void {
    server.outstanding -= 1;
    this.assigned.delete(arrival.requestId);
    const outcome = isComplete ? 'answered' : 'unanswered';
    this.arena.recorder.ended(arrival.requestId, outcome);
    const next = server.backlog.shift();
    if (next) {
      this.dispatch(server, next);
    }
    this.startLoads();
  }

  /** The caller gives up on what has not been sent to an engine. */
  private expire(arrival: Arrival): void {
    const server = this.assigned.get(arrival.requestId);
    const stalled = server?.stalled.get(arrival.key) ?? [];
    if (!server || !stalled.includes(arrival)) {
      return;
    }
    const remaining = stalled.filter((other) => other !== arrival);
    if (remaining.length > 0) {
      server.stalled.set(arrival.key, remaining);
    } else {
      server.stalled.delete(arrival.key);
      server.wanted = server.wanted.filter(({key}) => key !== arrival.key);
    }
    this.assigned.delete(arrival.requestId);
    server.outstanding -= 1;
    this.arena.recorder.ended(arrival.requestId, 'unanswered');
  }
}
