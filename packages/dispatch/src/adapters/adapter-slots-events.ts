import type {AdapterName} from './adapter-key.js';

/** A load or unload order to one server. */
export interface Order {
  /** Matches the answer to the order. */
  readonly serial: number;
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** The adapter; undefined where the order is about the base model. */
  readonly adapter: string | undefined;
  /** Version to load; undefined loads the newest. */
  readonly version: number | undefined;
  /**
   * Orders that the server has accepted so far: it refuses this one if another
   * was accepted since, so that a late copy never undoes a newer order.
   */
  readonly expectedOrders: number;
}

/**
 * How an order ended:
 *
 * - `accepted`: it is being carried out.
 * - `holds`: what it asks for is so already.
 * - `conflict`: another order is under way, or the count of orders differs.
 * - `invalid`: there is no such adapter or version.
 * - `misdirected`: another server answers at the address.
 * - `unanswered`: it may have been accepted, or may be carried out later.
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

/** What a server reports about its adapters; a little out of date. */
export interface ResidencyReport {
  /** Orders accepted since its start. */
  readonly ordersAccepted: number;
  /** Base models that it holds. */
  readonly models: readonly string[];
  readonly resident: readonly (AdapterName & {readonly version: number})[];
  /** Adapters on their way. */
  readonly loading: readonly (AdapterName & {readonly version: number})[];
}

/** A host wants an adapter resident for a request. */
export interface PrepareRequest extends AdapterName {
  readonly requestId: string;
  /** The host that asks; it releases the adapter when it is done with it. */
  readonly host: string;
  /** Oldest version that will do. */
  readonly version: number;
  /** Longest useful wait, milliseconds. */
  readonly maximumWaitMs: number;
  /** Longest wait after which the answer can be on time, milliseconds. */
  readonly onTimeWithinMs: number;
  /** Rank of the request; 0 is first. */
  readonly priority: number;
  /** Requests sent on the last promise for the adapter. */
  readonly uses: number;
  /** Servers among which the host chose this one. */
  readonly among: number;
  /** Requests that the host has at the server. */
  readonly inFlight: number;
  /** The host takes a crowded server, as it found no other. */
  readonly takesCrowded: boolean;
  /** How slow the host found the server as a rule; if the server tells. */
  readonly slowness?: number | undefined;
}

/** The answer to a host that wants an adapter. */
export type PrepareAnswer = PrepareOutcome & {
  /** Requests of all hosts at the server, this one included; if known. */
  readonly requests?: number | undefined;
  /** Servers over which the adapter should be spread; if known. */
  readonly spread?: number | undefined;
  /** How slow the server is for good, as all hosts go by; if known. */
  readonly slowness?: number | undefined;
};

/** Whether the adapter is resident for the request. */
export type PrepareOutcome =
  | {
      readonly outcome: 'resident';
      readonly version: number;
      /**
       * The host may send requests to it for this long, milliseconds, and
       * releases it when this is over and its requests have ended.
       */
      readonly validMs: number;
    }
  | {
      readonly outcome: 'refused';
      readonly reason: PrepareRefusal;
      /** When it may be worth another try, milliseconds. */
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
  'unreachable',
] as const;
export type PrepareRefusal = (typeof PREPARE_REFUSALS)[number];

/**
 * What this host's claim on the orders of a server allows: nothing, without one;
 * to answer for what the server holds, while another host may still issue
 * orders or this host's proof has run out; to issue orders.
 */
export type ClaimState = 'none' | 'waiting' | 'issuing';

export type AdapterSlotsEvent =
  | {readonly type: 'prepare-requested'; readonly request: PrepareRequest}
  | {readonly type: 'prepare-cancelled'; readonly requestId: string}
  /** A host has no request on an adapter any more, and no promise. */
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
      /** Adapters that fit next to them. */
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
