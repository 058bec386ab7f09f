import type {EngineModel} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';

/** One adapter slot as a policy of comparison keeps account of it. */
export interface DirectSlot {
  readonly key: string;
  readonly adapter: string;
  readonly version: string;
  state: 'loading' | 'ready';
  /** Requests that run or queue on it. */
  users: number;
  lastUsedMs: number;
}

/** One engine as a policy of comparison keeps account of it. */
export interface DirectServer {
  readonly server: string;
  readonly engine: EngineModel;
  incarnation: string;
  readonly slots: Map<string, DirectSlot>;
  /** Requests that wait for their adapter to load. */
  readonly stalled: Map<string, Arrival[]>;
  /** Adapters that wait for a slot, first come first. */
  wanted: Arrival[];
  /** Requests that the engine's queue had no room for. */
  backlog: Arrival[];
  /** Requests assigned and not ended. */
  outstanding: number;
}

export const newDirectServer = (
  server: string,
  engine: EngineModel,
): DirectServer => ({
  server,
  engine,
  incarnation: engine.incarnation,
  slots: new Map(),
  stalled: new Map(),
  wanted: [],
  backlog: [],
  outstanding: 0,
});

/** Slots that no request uses and that may be given to another adapter. */
export const idleSlots = ({slots}: DirectServer): readonly DirectSlot[] =>
  [...slots.values()].filter(
    ({state, users}) => state === 'ready' && users === 0,
  );
