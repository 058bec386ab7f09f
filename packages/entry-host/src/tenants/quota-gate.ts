import type {Caller} from '@basilworks/dispatch';

/** Why a request gets no tokens. */
export type RefusalReason = 'absurd' | 'over-quota' | 'unsettled' | 'unheard';

export const REFUSAL_STATUS: Readonly<Record<RefusalReason, 400 | 429 | 503>> =
  {
    absurd: 400,
    'over-quota': 429,
    unsettled: 503,
    unheard: 503,
  };

/** Whether a request may use what it needs of its tenant's quota. */
export type Admission =
  | {
      readonly type: 'admitted';
      /** To be called once the request is over. */
      readonly end: (ran: boolean) => void;
    }
  | {
      readonly type: 'refused';
      readonly status: 400 | 429 | 503;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** A request as far as quotas go. */
export interface QuotaRequest {
  readonly requestId: string;
  readonly caller: Caller;
  /** What it says of its tokens, as it was sent. */
  readonly usage: string | undefined;
}

/** Keeps requests within the quotas of their tenants. */
export interface QuotaGate {
  admit(request: QuotaRequest): Promise<Admission>;
}

/** Nothing was taken. */
export const ADMITTED: Admission = {type: 'admitted', end: () => undefined};

/** Lets everything go. */
export const NO_QUOTAS: QuotaGate = {admit: () => Promise.resolve(ADMITTED)};
