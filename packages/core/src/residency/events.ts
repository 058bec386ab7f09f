import type {AdapterVersion, HostId, ServerId} from '../identifiers.js';
import type {RequestDescription} from '../request.js';
import type {SendOutcome} from '../refusal.js';

/** A request arrived at the owner of its server over the data path. */
export interface ExecutionRequestedEvent {
  readonly type: 'execution-requested';
  /** Unique per attempt in the deployment. */
  readonly executionId: string;
  readonly request: RequestDescription;
  readonly server: ServerId;
  readonly from: HostId;
  readonly remainingMs: number;
  /** Set when an interrupted stream is to be continued. */
  readonly resumeOffsetBytes: number | undefined;
}

/** The ingress host closed the data path before the end. */
export interface ExecutionAbandonedEvent {
  readonly type: 'execution-abandoned';
  readonly executionId: string;
}

/** An execution that `dispatch-execution` began has ended at the engine. */
export interface ExecutionFinishedEvent {
  readonly type: 'execution-finished';
  readonly executionId: string;
  readonly outcome: SendOutcome;
  /** Tokens generated, as far as the answer's size tells. */
  readonly tokens: number;
}

/** The first byte of the engine's answer arrived. */
export interface ExecutionStartedEvent {
  readonly type: 'execution-started';
  readonly executionId: string;
}

/** How a load or unload order ended. */
export interface AdapterOrderFinishedEvent {
  readonly type: 'adapter-order-finished';
  readonly orderId: string;
  /**
   * `done` and `failed` are the engine's own words; `stale-fencing` says that
   * another owner gave orders; `unknown` that the order's answer was lost.
   */
  readonly outcome:
    | 'done'
    | 'failed'
    | 'no-free-slot'
    | 'in-use'
    | 'stale-fencing'
    | 'not-sent'
    | 'unknown';
}

/** An engine's own report. It lags behind what the engine does. */
export interface ServerReport {
  readonly server: ServerId;
  /** Engine start; differs after a restart, which empties all slots. */
  readonly engineIncarnation: string;
  /** Age of the measurement at receipt, in milliseconds. */
  readonly ageMs: number;
  readonly resident: readonly ResidentAdapter[];
  readonly running: number;
  readonly waiting: number;
}

/** One occupied slot in an engine's report. */
export interface ResidentAdapter extends AdapterVersion {
  readonly state: 'loading' | 'ready';
  /** Requests that run on it, as measured. */
  readonly running: number;
}

export interface ServerReportedEvent {
  readonly type: 'server-reported';
  /** Undefined when the engine did not answer. */
  readonly report: ServerReport | undefined;
  readonly server: ServerId;
}

/** A prefix entered or left an engine's cache; late and with gaps. */
export interface CacheEventsReadEvent {
  readonly type: 'cache-events-read';
  readonly server: ServerId;
  readonly events: readonly {
    readonly prefixDigest: string;
    readonly cached: boolean;
  }[];
}

export type ResidencyEvent =
  | ExecutionRequestedEvent
  | ExecutionAbandonedEvent
  | ExecutionStartedEvent
  | ExecutionFinishedEvent
  | AdapterOrderFinishedEvent
  | ServerReportedEvent
  | CacheEventsReadEvent;
