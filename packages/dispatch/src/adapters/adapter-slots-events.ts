import type {PrefillLimit} from '../prompts/index.js';
import type {AdapterName} from './adapter-key.js';

/** A load or unload order to one server. */
export interface Order {
  /** Identifies the order when its outcome arrives. */
  readonly serial: number;
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** The adapter; undefined for an order for the base model. */
  readonly adapter: string | undefined;
  /** Version to load; undefined loads the newest. */
  readonly version: number | undefined;
  /**
   * Number of orders accepted by the server so far. The server refuses this one
   * if it accepted another since, so that a late copy never undoes a newer one.
   */
  readonly expectedOrders: number;
}

/**
 * Outcome of an order:
 *
 * - `accepted`: it is being executed.
 * - `holds`: the requested state is already reached.
 * - `conflict`: another order is in progress, or the order count differs.
 * - `invalid`: there is no such adapter or version.
 * - `misdirected`: another server answers at the address.
 * - `unanswered`: it may have been accepted, or may be executed later.
 * - `withheld`: it was not sent, as this host may not issue orders now.
 */
export type OrderOutcome =
  | 'accepted'
  | 'holds'
  | 'conflict'
  | 'invalid'
  | 'misdirected'
  | 'unanswered'
  | 'withheld';

/** A server's report of its models and adapters; it lags slightly. */
export interface ResidencyReport {
  /** Number of orders accepted since the server started. */
  readonly ordersAccepted: number;
  /** Resident base models. */
  readonly models: readonly string[];
  readonly resident: readonly (AdapterName & {readonly version: number})[];
  /** Adapters being loaded. */
  readonly loading: readonly (AdapterName & {readonly version: number})[];
}

/** A host's request to make an adapter resident. */
export interface PrepareRequest extends AdapterName {
  readonly requestId: string;
  /** The requesting host, which releases the adapter after its last use. */
  readonly host: string;
  /** Oldest acceptable version. */
  readonly version: number;
  /** Maximum useful wait, milliseconds. */
  readonly maximumWaitMs: number;
  /** Maximum wait with which the answer can still be on time, milliseconds. */
  readonly onTimeWithinMs: number;
  /** Priority level of the request; 0 is the highest. */
  readonly priority: number;
  /** Requests sent under the last lease on the adapter. */
  readonly uses: number;
  /** Number of servers among which the host chose this one. */
  readonly among: number;
  /** Requests of the host in flight at the server. */
  readonly inFlight: number;
  /** Whether the host accepts an overloaded server, having found no other. */
  readonly takesCrowded: boolean;
  /** Long-term slowdown observed by the host; if the server reports it. */
  readonly slowness?: number | undefined;
  /** Tokens of its prompt, if its stream has a target for event gaps, or 0. */
  readonly promptTokens: number;
}

/** The answer to a `PrepareRequest`. */
export type PrepareAnswer = PrepareOutcome & {
  /** Requests of all hosts at the server, including this one; if known. */
  readonly requests?: number | undefined;
  /** Number of servers among which to spread the adapter; if known. */
  readonly spread?: number | undefined;
  /** Long-term slowdown of the server, used by all hosts; if known. */
  readonly slowness?: number | undefined;
  /**
   * Limit of the prefill work at the server, with which each prompt has to be
   * announced to the issuer; undefined without a limit.
   */
  readonly prefillLimit?: PrefillLimit | undefined;
  /** Time that the prompt waited until it could be sent, milliseconds. */
  readonly promptWaitMs?: number | undefined;
};

/** Whether the adapter is resident for the request. */
export type PrepareOutcome =
  | {
      readonly outcome: 'resident';
      readonly version: number;
      /**
       * Duration of the lease, milliseconds. The host may send requests during
       * it, and releases the adapter once it is over and they have ended.
       */
      readonly validMs: number;
    }
  | {
      readonly outcome: 'refused';
      readonly reason: PrepareRefusal;
      /** Delay after which a retry may succeed, milliseconds. */
      readonly retryAfterMs: number;
    };

/** Why an adapter can't be made resident at a server. */
export const PREPARE_REFUSALS = [
  'no-place',
  'too-long',
  'crowded',
  'not-issuer',
  'unknown-adapter',
  'server-gone',
  'held-back',
  'prompts-waiting',
  'unreachable',
] as const;
export type PrepareRefusal = (typeof PREPARE_REFUSALS)[number];

/**
 * What this host's claim on the orders of a server allows:
 *
 * - `none`: nothing, as there is no claim.
 * - `waiting`: to grant leases on resident adapters, while another host may
 *   still issue orders or this host's proof of the claim has expired.
 * - `issuing`: to issue orders.
 */
export type ClaimState = 'none' | 'waiting' | 'issuing';

export type AdapterSlotsEvent =
  | {readonly type: 'prepare-requested'; readonly request: PrepareRequest}
  | {readonly type: 'prepare-cancelled'; readonly requestId: string}
  /** A host has neither requests nor a lease on an adapter any more. */
  | {
      readonly type: 'adapter-released';
      readonly host: string;
      readonly name: AdapterName;
    }
  | {
      readonly type: 'order-ended';
      readonly order: Order;
      readonly end: OrderOutcome;
    }
  | {readonly type: 'report-read'; readonly report: ResidencyReport}
  | {readonly type: 'report-failed'}
  | {readonly type: 'claim-changed'; readonly claim: ClaimState}
  | {
      readonly type: 'models-wanted';
      readonly models: readonly string[];
      /** Number of adapter slots next to these models. */
      readonly capacity: number;
    }
  | {readonly type: 'server-gone'}
  | {readonly type: 'woken'};

export type AdapterSlotsEffect =
  | {readonly type: 'send-order'; readonly order: Order}
  | {readonly type: 'read-report'}
  | {
      readonly type: 'answer-prepare';
      readonly requestId: string;
      readonly answer: PrepareAnswer;
    }
  | {readonly type: 'wake-after'; readonly delayMs: number};
