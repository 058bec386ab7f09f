import type {AdapterVersion, ServerId} from '../identifiers.js';
import type {Refusal} from '../refusal.js';

/**
 * Sends a waiting execution to its engine now. The daemon re-checks
 * `mayAct` in the same loop turn as the socket write. Ends with one
 * `execution-finished`.
 */
export interface DispatchExecutionEffect {
  readonly type: 'dispatch-execution';
  readonly executionId: string;
  readonly server: ServerId;
  readonly fencingNumber: number;
  /** Smaller runs first in the engine's batch. */
  readonly enginePriority: number;
}

/** Refuses a waiting execution; nothing was sent to the engine. */
export interface RefuseExecutionEffect {
  readonly type: 'refuse-execution';
  readonly executionId: string;
  readonly refusal: Refusal;
}

/** Cancels a dispatched execution at the engine. */
export interface CancelExecutionEffect {
  readonly type: 'cancel-execution';
  readonly executionId: string;
  readonly server: ServerId;
}

/** Orders an engine to load or unload; ends with `adapter-order-finished`. */
export interface OrderAdapterEffect extends AdapterVersion {
  readonly type: 'order-adapter';
  readonly order: 'load' | 'unload';
  readonly orderId: string;
  readonly server: ServerId;
  readonly fencingNumber: number;
}

/** Asks for a `server-reported` event. */
export interface ReadServerReportEffect {
  readonly type: 'read-server-report';
  readonly server: ServerId;
}

/** Asks for a `cache-events-read` event. */
export interface ReadCacheEventsEffect {
  readonly type: 'read-cache-events';
  readonly server: ServerId;
}

export type ResidencyEffect =
  | DispatchExecutionEffect
  | RefuseExecutionEffect
  | CancelExecutionEffect
  | OrderAdapterEffect
  | ReadServerReportEffect
  | ReadCacheEventsEffect;
