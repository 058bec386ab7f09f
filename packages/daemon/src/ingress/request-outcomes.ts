import type {FailureCode, MemberId, RequestId} from '@basilworks/core';

/** What this host knows of a request that it took. */
export interface RequestStatus {
  readonly requestId: RequestId;
  readonly state: 'open' | 'answered' | 'refused' | 'abandoned';
  readonly code?: FailureCode;
  readonly notRun?: boolean;
}

interface Entry {
  readonly member: MemberId;
  readonly status: RequestStatus;
}

/** Status of the last requests of this host, by their identity. */
export class RequestOutcomes {
  private readonly entries = new Map<RequestId, Entry>();

  constructor(private readonly capacity: number) {}

  set(member: MemberId, status: RequestStatus): void {
    const {requestId} = status;
    this.entries.delete(requestId);
    this.entries.set(requestId, {member, status});
    const [oldest] = this.entries.keys();
    if (this.entries.size > this.capacity && oldest !== undefined) {
      this.entries.delete(oldest);
    }
  }

  /** Status of a member's own request; undefined for anyone else's. */
  get(member: MemberId, requestId: RequestId): RequestStatus | undefined {
    const entry = this.entries.get(requestId);
    return entry?.member === member ? entry.status : undefined;
  }
}
