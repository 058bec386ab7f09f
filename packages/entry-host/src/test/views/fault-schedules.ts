import * as fc from 'fast-check';

import {FleetSimulation} from './fleet-simulation.js';
import {
  HEARTBEAT_PERIOD_MS,
  HOST_COUNT,
  LEAVING_BOUND_MS,
  SERVER_IDS,
} from './seven-host-fleet.js';
import type {StoreFault} from './store-model.js';

/** Time within which stable hosts have to apply a configuration, ms. */
const CONFIGURATION_BOUND_MS = 2_000;

/** Time without faults after which a host or the store is stable, ms. */
const STABILIZATION_MS = 3_000;

/** Time within which hosts have to use an available server, milliseconds. */
const RETURN_BOUND_MS = 3_000;

/** Interval of invariant checks, milliseconds. */
const CHECK_PERIOD_MS = 50;

/** Time in which faults begin, and time checked after that, milliseconds. */
const FAULT_PERIOD_MS = 20_000;
const RECOVERY_PERIOD_MS = 8_000;

const hostArbitrary = fc.nat({max: HOST_COUNT - 1});
const serverArbitrary = fc.nat({max: SERVER_IDS.length - 1});
const durationArbitrary = fc.integer({min: 100, max: 6_000});
const faultArbitrary = fc.constantFrom<StoreFault>('silent', 'refuse');

const actionArbitrary = fc.oneof(
  fc.record({
    type: fc.constant('freeze'),
    host: hostArbitrary,
    forMs: durationArbitrary,
  }),
  fc.record({
    type: fc.constant('restart'),
    host: hostArbitrary,
    forMs: durationArbitrary,
  }),
  fc.record({
    type: fc.constant('cut-store'),
    host: hostArbitrary,
    fault: faultArbitrary,
    forMs: durationArbitrary,
  }),
  fc.record({
    type: fc.constant('isolate'),
    host: hostArbitrary,
    forMs: durationArbitrary,
  }),
  fc.record({
    type: fc.constant('store-fault'),
    fault: faultArbitrary,
    forMs: durationArbitrary,
  }),
  fc.record({
    type: fc.constant('slow-store'),
    latencyMs: fc.integer({min: 10, max: 300}),
    forMs: durationArbitrary,
  }),
  fc.record({type: fc.constant('compact')}),
  fc.record({type: fc.constant('lapse'), fault: faultArbitrary}),
  fc.record({type: fc.constant('configure')}),
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('leave'),
      server: serverArbitrary,
      forMs: durationArbitrary,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('vanish'),
      server: serverArbitrary,
      forMs: durationArbitrary,
    }),
  },
  fc.record({type: fc.constant('restart-server'), server: serverArbitrary}),
);

/** Generates faults and changes in any order, possibly overlapping. */
export const scheduleArbitrary = fc.array(
  fc.record({
    atMs: fc.integer({min: 0, max: FAULT_PERIOD_MS}),
    action: actionArbitrary,
  }),
  {maxLength: 24},
);
export type Schedule =
  typeof scheduleArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type Action = Schedule[number]['action'];
type ActionOf<Type> = Extract<Action, {type: Type}>;

/** Outage in which entries expire, and delay until servers rewrite them, ms. */
const EXPIRY_MS = 4_000;
const REREGISTRATION_MS = 1_500;

/** Runs a schedule and returns the violated invariants. */
export const runSchedule = async (schedule: Schedule): Promise<string[]> => {
  const run = new ScheduleRun();
  return run.run(schedule);
};

class ScheduleRun {
  private readonly fleet = new FleetSimulation(HOST_COUNT);
  private readonly violations = new Set<string>();
  /** End of the latest fault of each host, and of the store. */
  private readonly hostFaultsEndAt = new Map<string, number>();
  private storeFaultEndsAt = -Infinity;
  /** When the store acknowledged that a server is leaving or was removed. */
  private readonly unavailableSince = new Map<string, number>();
  /** When the store first listed a server as accepting requests. */
  private readonly availableSince = new Map<string, number>();
  private configuredAt = 0;
  private version = 1;
  private serverStarts = 1;

  async run(schedule: Schedule): Promise<string[]> {
    const {fleet} = this;
    for (const id of SERVER_IDS) {
      this.openServer(id, 1);
    }
    fleet.store.put('configuration', 'main', {version: this.version});
    fleet.startHeartbeats(() => SERVER_IDS, HEARTBEAT_PERIOD_MS);
    await fleet.start();
    const beginMs = fleet.time.nowMs;
    for (const {atMs, action} of schedule) {
      fleet.time.after(atMs, () => {
        (this.handlers[action.type] as (action: Action) => void)(action);
      });
    }
    const endMs = beginMs + FAULT_PERIOD_MS + RECOVERY_PERIOD_MS;
    while (fleet.time.nowMs < endMs) {
      await fleet.time.advance(fleet.time.nowMs + CHECK_PERIOD_MS);
      this.checkInvariants();
    }
    fleet.close();
    return [...this.violations];
  }

  private readonly handlers: {
    readonly [Type in Action['type']]: (action: ActionOf<Type>) => void;
  } = {
    freeze: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      if (target.running) {
        target.freeze();
        this.recordHostFault(target.name, ms);
        this.fleet.time.after(ms, () => {
          target.thaw();
        });
      }
    },
    restart: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      if (!target.closed) {
        target.close();
        this.recordHostFault(target.name, ms);
        this.fleet.time.after(ms, () => {
          this.fleet.startHost(target.name);
        });
      }
    },
    'cut-store': ({host: index, fault, forMs: ms}) => {
      const target = this.hostAt(index);
      if (target.storeConnection.fault === 'none') {
        target.storeConnection.fault = fault;
        this.recordHostFault(target.name, ms);
        this.fleet.time.after(ms, () => {
          target.storeConnection.fault = 'none';
        });
      }
    },
    // Not recorded as a fault: a host that reaches the store has to keep the
    // bounds without its peers.
    isolate: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      target.partitioned = true;
      this.fleet.time.after(ms, () => {
        target.partitioned = false;
      });
    },
    'store-fault': ({fault, forMs: ms}) => {
      this.injectStoreFault(fault, ms);
    },
    'slow-store': ({latencyMs, forMs: ms}) => {
      const {store, time} = this.fleet;
      const previousLatencyMs = store.latencyMs;
      store.latencyMs = latencyMs;
      this.recordStoreFault(ms);
      time.after(ms, () => {
        store.latencyMs = previousLatencyMs;
      });
    },
    compact: () => {
      this.fleet.store.compact();
      this.recordStoreFault(0);
    },
    lapse: ({fault}) => {
      const {store, time} = this.fleet;
      if (store.fault !== 'none') {
        return;
      }
      this.injectStoreFault(fault, EXPIRY_MS);
      const expired = SERVER_IDS.filter((id) => this.availableSince.has(id));
      time.after(EXPIRY_MS - 100, () => {
        for (const id of expired) {
          store.remove('servers', id);
        }
      });
      time.after(EXPIRY_MS + REREGISTRATION_MS, () => {
        for (const id of expired) {
          if (this.availableSince.has(id)) {
            this.fleet.putServer(id, {startedAtWallMs: this.startTimeOf(id)});
          }
        }
      });
    },
    configure: () => {
      const {store, time} = this.fleet;
      this.version += 1;
      this.configuredAt = time.nowMs;
      store.put('configuration', 'main', {version: this.version});
    },
    leave: ({server: index, forMs: ms}) => {
      const id = SERVER_IDS[index] ?? '';
      if (this.availableSince.has(id) && this.isListed(id)) {
        this.fleet.putServer(id, {
          leaving: true,
          startedAtWallMs: this.startTimeOf(id),
        });
        this.markUnavailable(id);
        this.fleet.time.after(LEAVING_BOUND_MS + ms, () => {
          this.fleet.store.remove('servers', id);
        });
      }
    },
    vanish: ({server: index}) => {
      const id = SERVER_IDS[index] ?? '';
      if (this.availableSince.has(id) && this.isListed(id)) {
        this.fleet.store.remove('servers', id);
        this.markUnavailable(id);
      }
    },
    'restart-server': ({server: index}) => {
      const id = SERVER_IDS[index] ?? '';
      if (this.fleet.store.fault === 'none') {
        this.openServer(id, (this.serverStarts += 1));
      }
    },
  };

  private checkInvariants(): void {
    const {fleet} = this;
    const {nowMs} = fleet.time;
    const storeStableAt = this.storeFaultEndsAt + STABILIZATION_MS;
    for (const {name, ...rest} of this.stableHosts(nowMs)) {
      for (const [id, atMs] of this.unavailableSince) {
        const overdueMs =
          nowMs - Math.max(atMs, storeStableAt) - LEAVING_BOUND_MS;
        if (overdueMs > 0 && rest.wouldSendTo(id)) {
          this.violations.add(
            `${name} sends to ${id}, which is leaving or removed`,
          );
        }
      }
      for (const [id, atMs] of this.availableSince) {
        const overdueMs =
          nowMs - Math.max(atMs, storeStableAt) - RETURN_BOUND_MS;
        if (overdueMs > 0 && this.isListed(id) && !rest.wouldSendTo(id)) {
          this.violations.add(`${name} does not use ${id}`);
        }
      }
      const overdueMs =
        nowMs -
        Math.max(this.configuredAt, storeStableAt) -
        CONFIGURATION_BOUND_MS;
      if (overdueMs > 0 && rest.version() !== this.version) {
        this.violations.add(`${name} uses an outdated configuration`);
      }
    }
  }

  private stableHosts(nowMs: number) {
    return [...this.fleet.hosts.values()]
      .filter(({running}) => running)
      .filter(
        ({name}) =>
          nowMs - (this.hostFaultsEndAt.get(name) ?? -Infinity) >
          STABILIZATION_MS,
      )
      .map((each) => ({
        name: each.name,
        wouldSendTo: (id: string) => each.wouldSendTo(id),
        version: () => {
          const items = each.context.views.get('configuration')?.snapshot.items;
          const main = items?.find(({name}) => name === 'main')?.value;
          return (main as {version: number} | undefined)?.version;
        },
      }));
  }

  private openServer(id: string, startedAtWallMs: number): void {
    this.fleet.putServer(id, {startedAtWallMs});
    this.unavailableSince.delete(id);
    this.availableSince.set(id, this.fleet.time.nowMs);
    this.startTimes.set(id, startedAtWallMs);
  }

  private readonly startTimes = new Map<string, number>();

  private startTimeOf(id: string): number {
    return this.startTimes.get(id) ?? 1;
  }

  private isListed(id: string): boolean {
    return this.fleet.store.list('servers').some(({name}) => name === id);
  }

  private markUnavailable(id: string): void {
    this.availableSince.delete(id);
    this.unavailableSince.set(id, this.fleet.time.nowMs);
  }

  private hostAt(index: number) {
    return this.fleet.host(this.fleet.names[index] ?? '');
  }

  private recordHostFault(name: string, ms: number): void {
    const untilMs = this.fleet.time.nowMs + ms;
    const known = this.hostFaultsEndAt.get(name) ?? -Infinity;
    this.hostFaultsEndAt.set(name, Math.max(known, untilMs));
  }

  private recordStoreFault(ms: number): void {
    const untilMs = this.fleet.time.nowMs + ms;
    this.storeFaultEndsAt = Math.max(this.storeFaultEndsAt, untilMs);
  }

  private injectStoreFault(fault: StoreFault, ms: number): void {
    const {store, time} = this.fleet;
    if (store.fault === 'none') {
      store.fault = fault;
      this.recordStoreFault(ms);
      time.after(ms, () => {
        store.fault = 'none';
      });
    }
  }
}
