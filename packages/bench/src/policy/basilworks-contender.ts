import {
  type CoreEvent,
  type CoreSettings,
  coreSettingsSchema,
  type CoreState,
  createState,
  type Effect,
  type HostList,
  reduce,
  type RequestDescription,
} from '@basilworks/core';
import {
  DEFAULT_OBJECT_STORE_OPTIONS,
  ObjectStoreModel,
  seededRandom,
} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';
import type {Arena, Contender} from './contender.js';
import {ENGINE_OPTIONS, serversOf} from './deployments.js';
import {EngineEffects} from './engine-effects.js';
import {TimerTable} from './timer-table.js';

const HOST = 'entry-1';

/** The product's reducer in one host, on virtual time. */
export class BasilworksContender implements Contender {
  private readonly state: CoreState;
  private readonly timers: TimerTable;
  private readonly store: ObjectStoreModel;
  private readonly engineEffects: EngineEffects;
  private readonly lost = new Set<string>();
  private events = 0;
  private reducingMs = 0;

  constructor(
    private readonly arena: Arena,
    mechanisms: CoreSettings['mechanisms'],
    private readonly clock: () => number = () => 0,
  ) {
    const {scheduler, seed} = arena;
    const settings = {...settingsOf(arena), mechanisms};
    this.state = createState(settings, {incarnation: `${HOST}#1`, seed});
    const handle = (event: CoreEvent): void => {
      this.handle(event);
    };
    this.timers = new TimerTable(scheduler, handle);
    this.store = new ObjectStoreModel(
      scheduler,
      seededRandom(seed),
      DEFAULT_OBJECT_STORE_OPTIONS,
    );
    this.engineEffects = new EngineEffects(arena, handle);
    this.handle({type: 'started'});
  }

  submit(arrival: Arrival): void {
    this.arena.recorder.arrived(arrival);
    this.engineEffects.arrived(arrival);
    this.handle({
      type: 'request-submitted',
      request: this.describe(arrival),
      remainingMs: arrival.deadlineMs,
    });
  }

  loseServers(servers: readonly string[]): void {
    servers.forEach((server) => this.lost.add(server));
    this.readHostList();
  }

  /** Events reduced so far and the time that they took. */
  reducerUse(): {readonly events: number; readonly reducingMs: number} {
    const {events, reducingMs} = this;
    return {events, reducingMs};
  }

  /** Reduces one event and runs its effects, as the daemon's loop does. */
  private handle(event: CoreEvent): void {
    const startedMs = this.clock();
    const {effects} = reduce(this.state, event, this.now());
    this.reducingMs += this.clock() - startedMs;
    this.events += 1;
    for (const effect of effects) {
      this.run(effect);
    }
  }

  private run(effect: Effect): void {
    if (this.timers.run(effect) || this.engineEffects.run(effect)) {
      return;
    }
    if (effect.type === 'store-request') {
      const {area, correlation, operation} = effect;
      const sentAt = this.now();
      this.store.call(operation, (result) => {
        const type = 'store-responded';
        this.handle({type, area, correlation, result, sentAt});
      });
    } else if (effect.type === 'read-host-list') {
      this.arena.scheduler.schedule(1, () => {
        this.readHostList();
      });
    } else if (effect.type === 'refuse-request') {
      const {notRun} = effect.refusal;
      const outcome = notRun ? 'refused' : 'unanswered';
      this.arena.recorder.ended(effect.requestId, outcome);
    }
  }

  private readHostList(): void {
    this.handle({type: 'host-list-read', hostList: this.hostList()});
  }

  private hostList(): HostList {
    const {deployment} = this.arena;
    const {zone} = this.state.settings;
    const servers = serversOf(deployment)
      .filter(({server}) => !this.lost.has(server))
      .map(({server, zone: serverZone}) => ({
        server,
        zone: serverZone,
        pool: deployment.pool,
        kind: 'engine' as const,
        address: '127.0.0.1:9000',
        baseModel: deployment.baseModel,
        slots: ENGINE_OPTIONS.slots,
        batchPositions: ENGINE_OPTIONS.batchPositions,
        checksFencing: true,
        state: 'live' as const,
      }));
    const entryHost = {
      host: HOST,
      zone,
      peerAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
      state: 'live' as const,
    };
    return {version: 1 + this.lost.size, entryHosts: [entryHost], servers};
  }

  private describe(arrival: Arrival): RequestDescription {
    const {deployment} = this.arena;
    return {
      requestId: arrival.requestId,
      member: arrival.member,
      adapter: arrival.adapter,
      version: arrival.version,
      baseModel: deployment.baseModel,
      pool: deployment.pool,
      priorityClass: arrival.priorityClass,
      prefixDigest: arrival.prefixDigest,
      maximumTokens: arrival.tokens,
    };
  }

  private now(): {monotonicMs: number; wallMs: number} {
    const monotonicMs = this.arena.scheduler.nowMs();
    return {monotonicMs, wallMs: monotonicMs};
  }
}

const settingsOf = ({deployment}: Arena): CoreSettings =>
  coreSettingsSchema.parse({
    host: HOST,
    zone: deployment.zones[0],
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    weightStore: deployment.weightStore,
    objectives: deployment.objectives,
  });
