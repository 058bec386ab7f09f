import {setTimeout as sleep} from 'node:timers/promises';

import {plainBodyDigest} from '@basilworks/stand-ins';

import type {Attempt, AttemptEnd, CallRecord} from '../history.js';
import type {Credential} from '../launch/entry-host-process.js';
import type {DemoOperation} from '../operations.js';
import type {AddressBook} from './address-book.js';
import {exchange, type Exchange, headerOf, parseErrorBody} from './exchange.js';

/** Time beyond the deadline after which a missing answer counts as lost. */
const SILENCE_MARGIN_MS = 15_000;
const DEADLINE_MS = 5_000;
const MAXIMUM_ATTEMPTS = 8;
const DEFAULT_RETRY_MS = 300;

/** A call to be sent. */
export interface ServiceCall {
  readonly service: string;
  readonly operation: DemoOperation;
  readonly nonce: string;
  /** Sends it at two hosts at once, under one idempotency key. */
  readonly concurrently: boolean;
}

interface AttemptResult {
  readonly attempt: Attempt;
  readonly retryMs: number;
}

/** Calls plain services as one member. */
export class ServiceCaller {
  constructor(
    private readonly member: Credential,
    private readonly addresses: AddressBook,
  ) {}

  /** Sends a call, and repeats it at the next host until it is answered. */
  async send(call: ServiceCall): Promise<CallRecord> {
    const courses = call.concurrently ? [0, 1] : [0];
    const attempts = await Promise.all(
      courses.map((firstHost) => this.sendFrom(call, firstHost)),
    );
    const {operation, idempotent} = call.operation;
    return {
      kind: 'call',
      operation,
      idempotent,
      member: this.member.name,
      body: bodyOf(call),
      attempts: attempts.flat(),
    };
  }

  private async sendFrom(
    call: ServiceCall,
    firstHost: number,
  ): Promise<Attempt[]> {
    const attempts: Attempt[] = [];
    while (attempts.length < MAXIMUM_ATTEMPTS) {
      const addresses = await this.addresses.lookUp({service: call.service});
      const index =
        (firstHost + attempts.length) % Math.max(1, addresses.length);
      const result = await this.attempt(call, addresses[index] ?? '');
      attempts.push(result.attempt);
      if (!mayRepeat(result.attempt.end)) {
        break;
      }
      await sleep(result.retryMs);
    }
    return attempts;
  }

  private async attempt(
    call: ServiceCall,
    address: string,
  ): Promise<AttemptResult> {
    const {operation, idempotent} = call.operation;
    const answer = await exchange({
      address,
      path: `/v1/services/${call.service}/${operation}`,
      method: 'POST',
      headers: {
        authorization: `Bearer ${this.member.token}`,
        'content-type': 'application/json',
        'x-deadline-ms': `${DEADLINE_MS}`,
        ...(idempotent ? {} : {'idempotency-key': call.nonce}),
      },
      body: bodyOf(call),
      timeoutMs: DEADLINE_MS + SILENCE_MARGIN_MS,
    });
    const error = parseErrorBody(answer.body.toString('utf8'));
    return {
      attempt: {
        requestId: headerOf(answer, 'x-request-id'),
        address,
        resumed: false,
        end: this.judge(call, answer),
      },
      retryMs: error?.retryAfterMs ?? DEFAULT_RETRY_MS,
    };
  }

  private judge(call: ServiceCall, answer: Exchange): AttemptEnd {
    if (answer.end === 'no-connection') {
      return {kind: 'not-connected'};
    }
    if (answer.end === 'timeout') {
      return {kind: 'silent'};
    }
    const text = answer.body.toString('utf8');
    const error = parseErrorBody(text);
    if (error !== undefined) {
      const {code, notRun} = error;
      return {kind: 'refused', code, notRun, deliveredBytes: 0};
    }
    if (answer.end === 'broken') {
      return {kind: 'broken', deliveredBytes: 0};
    }
    const {operation} = call.operation;
    const member = this.member.name;
    const bodyDigest = plainBodyDigest(bodyOf(call));
    return text === JSON.stringify({operation, member, bodyDigest})
      ? {kind: 'whole', adapter: '', version: ''}
      : {kind: 'wrong', detail: `unexpected answer ${text.slice(0, 200)}`};
  }
}

/** The order itself; its unique part lets runs be counted. */
const bodyOf = ({nonce, operation}: ServiceCall): string =>
  JSON.stringify({order: nonce, operation: operation.operation});

/** Idempotency keys make every repeat safe; only a definite end is not. */
const mayRepeat = (end: AttemptEnd): boolean =>
  end.kind === 'refused' ||
  end.kind === 'broken' ||
  end.kind === 'not-connected';
