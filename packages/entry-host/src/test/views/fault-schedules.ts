import * as fc from 'fast-check';

import {FleetSimulation} from './fleet-simulation.js';
import {
  HEARTBEAT_PERIOD_MS,
  HOSTS,
  LEAVING_BOUND_MS,
  SERVERS,
} from './seven-host-fleet.js';
import type {StoreFault} from './store-model.js';

/** Bound on the configuration that hosts in touch go by, milliseconds. */
const CONFIGURATION_BOUND_MS = 2_000;

/** Time without trouble after which a host or the store counts, ms. */
const CONTACT_MS = 3_000;

/** Time after which a server that is there has to be in use, milliseconds. */
const RETURN_BOUND_MS = 3_000;

/** Between two looks at all hosts, milliseconds. */
const CHECK_PERIOD_MS = 50;

/** How long faults are drawn over, and how long the end is watched, ms. */
const FAULT_PERIOD_MS = 20_000;
const SETTLING_MS = 8_000;

const host = fc.nat({max: HOSTS - 1});
const server = fc.nat({max: SERVERS.length - 1});
const forMs = fc.integer({min: 100, max: 6_000});
const fault = fc.constantFrom<StoreFault>('silent', 'refuse');

const actionArbitrary = fc.oneof(
  fc.record({type: fc.constant('freeze'), host, forMs}),
  fc.record({type: fc.constant('restart'), host, forMs}),
  fc.record({type: fc.constant('cut-store'), host, fault, forMs}),
  fc.record({type: fc.constant('isolate'), host, forMs}),
  fc.record({type: fc.constant('store-fault'), fault, forMs}),
  fc.record({
    type: fc.constant('slow-store'),
    latencyMs: fc.integer({min: 10, max: 300}),
    forMs,
  }),
  fc.record({type: fc.constant('compact')}),
  fc.record({type: fc.constant('lapse'), fault}),
  fc.record({type: fc.constant('configure')}),
  {
    weight: 4,
    arbitrary: fc.record({type: fc.constant('leave'), server, forMs}),
  },
  {
    weight: 4,
    arbitrary: fc.record({type: fc.constant('vanish'), server, forMs}),
  },
  fc.record({type: fc.constant('restart-server'), server}),
);

/** Faults and changes, in any order and on top of each other. */
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

/** Time for entries to lapse, and for their servers to write them again, ms. */
const LAPSE_MS = 4_000;
const RETURN_MS = 1_500;

/** Plays a schedule; returns what broke. */
export const runSchedule = async (schedule: Schedule): Promise<string[]> => {
  const run = new ScheduleRun();
  return run.play(schedule);
};

class ScheduleRun {
  private readonly fleet = new FleetSimulation(HOSTS);
  private readonly broken = new Set<string>();
  /** Ends of the latest troubles of hosts and of the store. */
  private readonly troubledUntil = new Map<string, number>();
  private storeTroubledUntil = -Infinity;
  /** When the store acknowledged that a server leaves or is gone. */
  private readonly leftAt = new Map<string, number>();
  /** When the store showed a server that takes requests. */
  private readonly openAt = new Map<string, number>();
  private configuredAt = 0;
  private version = 1;
  private starts = 1;

  async play(schedule: Schedule): Promise<string[]> {
    const {fleet} = this;
    for (const id of SERVERS) {
      this.open(id, 1);
    }
    fleet.store.put('configuration', 'main', {version: this.version});
    fleet.startHeartbeats(() => SERVERS, HEARTBEAT_PERIOD_MS);
    await fleet.start();
    const beginMs = fleet.time.nowMs;
    for (const {atMs, action} of schedule) {
      fleet.time.after(atMs, () => {
        (this.handlers[action.type] as (action: Action) => void)(action);
      });
    }
    const endMs = beginMs + FAULT_PERIOD_MS + SETTLING_MS;
    while (fleet.time.nowMs < endMs) {
      await fleet.time.advance(fleet.time.nowMs + CHECK_PERIOD_MS);
      this.check();
    }
    fleet.close();
    return [...this.broken];
  }

  private readonly handlers: {
    readonly [Type in Action['type']]: (action: ActionOf<Type>) => void;
  } = {
    freeze: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      if (target.running) {
        target.freeze();
        this.trouble(target.name, ms);
        this.fleet.time.after(ms, () => {
          target.thaw();
        });
      }
    },
    restart: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      if (!target.closed) {
        target.close();
        this.trouble(target.name, ms);
        this.fleet.time.after(ms, () => {
          this.fleet.startHost(target.name);
        });
      }
    },
    'cut-store': ({host: index, fault: how, forMs: ms}) => {
      const target = this.hostAt(index);
      if (target.storeConnection.fault === 'none') {
        target.storeConnection.fault = how;
        this.trouble(target.name, ms);
        this.fleet.time.after(ms, () => {
          target.storeConnection.fault = 'none';
        });
      }
    },
    // A host that reaches the store has to keep the bounds without its peers.
    isolate: ({host: index, forMs: ms}) => {
      const target = this.hostAt(index);
      target.partitioned = true;
      this.fleet.time.after(ms, () => {
        target.partitioned = false;
      });
    },
    'store-fault': ({fault: how, forMs: ms}) => {
      this.breakStore(how, ms);
    },
    'slow-store': ({latencyMs, forMs: ms}) => {
      const {store, time} = this.fleet;
      const usualMs = store.latencyMs;
      store.latencyMs = latencyMs;
      this.troubleStore(ms);
      time.after(ms, () => {
        store.latencyMs = usualMs;
      });
    },
    compact: () => {
      this.fleet.store.compact();
      this.troubleStore(0);
    },
    lapse: ({fault: how}) => {
      const {store, time} = this.fleet;
      if (store.fault !== 'none') {
        return;
      }
      this.breakStore(how, LAPSE_MS);
      const lapsed = SERVERS.filter((id) => this.openAt.has(id));
      time.after(LAPSE_MS - 100, () => {
        for (const id of lapsed) {
          store.remove('servers', id);
        }
      });
      time.after(LAPSE_MS + RETURN_MS, () => {
        for (const id of lapsed) {
          if (this.openAt.has(id)) {
            this.fleet.putServer(id, {startedAtWallMs: this.startOf(id)});
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
      const id = SERVERS[index] ?? '';
      if (this.openAt.has(id) && this.isListed(id)) {
        this.fleet.putServer(id, {
          leaving: true,
          startedAtWallMs: this.startOf(id),
        });
        this.left(id);
        this.fleet.time.after(LEAVING_BOUND_MS + ms, () => {
          this.fleet.store.remove('servers', id);
        });
      }
    },
    vanish: ({server: index}) => {
      const id = SERVERS[index] ?? '';
      if (this.openAt.has(id) && this.isListed(id)) {
        this.fleet.store.remove('servers', id);
        this.left(id);
      }
    },
    'restart-server': ({server: index}) => {
      const id = SERVERS[index] ?? '';
      if (this.fleet.store.fault === 'none') {
        this.open(id, (this.starts += 1));
      }
    },
  };

  private check(): void {
    const {fleet} = this;
    const {nowMs} = fleet.time;
    const storeStableAt = this.storeTroubledUntil + CONTACT_MS;
    for (const {name, ...rest} of this.hostsInTouch(nowMs)) {
      for (const [id, atMs] of this.leftAt) {
        const lateMs = nowMs - Math.max(atMs, storeStableAt) - LEAVING_BOUND_MS;
        if (lateMs > 0 && rest.sendsTo(id)) {
          this.broken.add(`${name} sends to ${id} that left`);
        }
      }
      for (const [id, atMs] of this.openAt) {
        const lateMs = nowMs - Math.max(atMs, storeStableAt) - RETURN_BOUND_MS;
        if (lateMs > 0 && this.isListed(id) && !rest.sendsTo(id)) {
          this.broken.add(`${name} does not use ${id}`);
        }
      }
      const lateMs =
        nowMs -
        Math.max(this.configuredAt, storeStableAt) -
        CONFIGURATION_BOUND_MS;
      if (lateMs > 0 && rest.version() !== this.version) {
        this.broken.add(`${name} goes by an old configuration`);
      }
    }
  }

  private hostsInTouch(nowMs: number) {
    return [...this.fleet.hosts.values()]
      .filter(({running}) => running)
      .filter(
        ({name}) =>
          nowMs - (this.troubledUntil.get(name) ?? -Infinity) > CONTACT_MS,
      )
      .map((each) => ({
        name: each.name,
        sendsTo: (id: string) => each.wouldSendTo(id),
        version: () => {
          const items = each.context.views.get('configuration')?.snapshot.items;
          const main = items?.find(({name}) => name === 'main')?.value;
          return (main as {version: number} | undefined)?.version;
        },
      }));
  }

  private open(id: string, startedAtWallMs: number): void {
    this.fleet.putServer(id, {startedAtWallMs});
    this.leftAt.delete(id);
    this.openAt.set(id, this.fleet.time.nowMs);
    this.startedAt.set(id, startedAtWallMs);
  }

  private readonly startedAt = new Map<string, number>();

  private startOf(id: string): number {
    return this.startedAt.get(id) ?? 1;
  }

  private isListed(id: string): boolean {
    return this.fleet.store.list('servers').some(({name}) => name === id);
  }

  private left(id: string): void {
    this.openAt.delete(id);
    this.leftAt.set(id, this.fleet.time.nowMs);
  }

  private hostAt(index: number) {
    return this.fleet.host(this.fleet.names[index] ?? '');
  }

  private trouble(name: string, ms: number): void {
    const untilMs = this.fleet.time.nowMs + ms;
    const known = this.troubledUntil.get(name) ?? -Infinity;
    this.troubledUntil.set(name, Math.max(known, untilMs));
  }

  private troubleStore(ms: number): void {
    const untilMs = this.fleet.time.nowMs + ms;
    this.storeTroubledUntil = Math.max(this.storeTroubledUntil, untilMs);
  }

  private breakStore(how: StoreFault, ms: number): void {
    const {store, time} = this.fleet;
    if (store.fault === 'none') {
      store.fault = how;
      this.troubleStore(ms);
      time.after(ms, () => {
        store.fault = 'none';
      });
    }
  }
}
