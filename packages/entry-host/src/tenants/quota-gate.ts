import type {Caller} from '@basilworks/dispatch';

/**
 * Why a request is refused tokens: it declares an impossibly large usage
 * (`absurd`), the quota is used up (`over-quota`), the meter does not know yet
 * what others granted before it (`unsettled`), or no meter answered
 * (`unheard`).
 */
export type RefusalReason = 'absurd' | 'over-quota' | 'unsettled' | 'unheard';

/** HTTP status of a refusal. */
export const REFUSAL_STATUS: Readonly<Record<RefusalReason, 400 | 429 | 503>> =
  {
    absurd: 400,
    'over-quota': 429,
    unsettled: 503,
    unheard: 503,
  };

/** Whether a request may use the tokens that it needs of its tenant's quota. */
export type Admission =
  | {
      readonly type: 'admitted';
      /** Must be called when the request has ended. */
      readonly end: (ran: boolean) => void;
    }
  | {
      readonly type: 'refused';
      readonly status: 400 | 429 | 503;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** The part of a request that matters to quotas. */
export interface QuotaRequest {
  readonly requestId: string;
  readonly caller: Caller;
  /** The declared token usage, verbatim. */
  readonly usage: string | undefined;
}

/** Admits requests within the quotas of their tenants. */
export interface QuotaGate {
  admit(request: QuotaRequest): Promise<Admission>;
}

/** Admission of a request that no quota applies to. */
export const ADMITTED: Admission = {type: 'admitted', end: () => undefined};

/** Admits every request. */
export const NO_QUOTAS: QuotaGate = {admit: () => Promise.resolve(ADMITTED)};
