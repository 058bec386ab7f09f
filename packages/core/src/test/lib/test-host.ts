import type {AreaName} from '../../area.js';
import type {Effect} from '../../effects.js';
import type {CoreEvent} from '../../events.js';
import {reduce} from '../../reducer.js';
import type {HostList} from '../../server.js';
import {coreSettingsSchema} from '../../settings.js';
import {createState, type CoreState} from '../../state.js';

/** Virtual time that the hosts of one test share. */
export interface TestClock {
  nowMs: number;
}

/** Effects that a test may look at. */
export type EffectOf<Type extends Effect['type']> = Extract<
  Effect,
  {readonly type: Type}
>;

/**
 * One reducer with the pending timers and store calls of one area. Effects are
 * kept until taken.
 */
export class TestHost {
  readonly state: CoreState;
  readonly timers = new Map<string, EffectOf<'set-timer'> & {dueMs: number}>();
  effects: Effect[] = [];

  constructor(
    readonly host: string,
    private readonly area: AreaName,
    private readonly clock: TestClock,
    start: number,
  ) {
    const settings = coreSettingsSchema.parse({
      host,
      zone: 'fairhaven',
      peerAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
    });
    const incarnation = `${host}#${start}`;
    this.state = createState(settings, {incarnation, seed: start});
  }

  /** Reduces an event; keeps the timers and effects that it produced. */
  post(event: CoreEvent): void {
    const at = {monotonicMs: this.clock.nowMs, wallMs: this.clock.nowMs};
    for (const effect of reduce(this.state, event, at).effects) {
      if ('area' in effect && effect.area !== this.area) {
        continue;
      }
      if (effect.type === 'set-timer') {
        const dueMs = this.clock.nowMs + effect.delayMs;
        this.timers.set(effect.timer, {...effect, dueMs});
      } else if (effect.type === 'cancel-timer') {
        this.timers.delete(effect.timer);
      } else {
        this.effects.push(effect);
      }
    }
  }

  /** Removes and returns the kept effects of a type. */
  take<Type extends Effect['type']>(type: Type): EffectOf<Type>[] {
    const taken = this.effects.filter((effect) => effect.type === type);
    this.effects = this.effects.filter((effect) => effect.type !== type);
    return taken as EffectOf<Type>[];
  }

  /** Fires the timers that are due. */
  fireDue(): void {
    for (const [key, {timer, dueMs}] of [...this.timers]) {
      if (dueMs <= this.clock.nowMs) {
        this.timers.delete(key);
        this.post({type: 'timer-fired', area: this.area, timer});
      }
    }
  }
}

/** A host list with these entry hosts and plain servers. */
export const hostListOf = (
  hosts: readonly string[],
  servers: readonly string[],
): HostList => ({
  version: 1,
  entryHosts: hosts.map((host) => ({
    host,
    zone: 'fairhaven',
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    state: 'live',
  })),
  servers: servers.map((server) => ({
    server,
    zone: 'fairhaven',
    pool: 'billing-desk',
    kind: 'plain',
    address: '127.0.0.1:3',
    slots: 0,
    batchPositions: 4,
    checksFencing: false,
    state: 'live',
  })),
});
