import {setTimeout as sleep} from 'node:timers/promises';

import type {Attempt, AttemptEnd, ModelRecord} from '../history.js';
import type {Credential} from '../launch/entry-host-process.js';
import type {AddressBook} from './address-book.js';
import {exchange} from './exchange.js';
import {
  expectedAnswer,
  judgeAnswer,
  type ModelCall,
  readAnswer,
  toModelBody,
} from './model-answer.js';

/** Time beyond the deadline after which a missing answer counts as lost. */
const SILENCE_MARGIN_MS = 10_000;
const MAXIMUM_ATTEMPTS = 20;
const DEFAULT_RETRY_MS = 300;

/** Time for which a broken stream is resumed beyond its deadline. */
const RESUME_MARGIN_MS = 5_000;

/** What one attempt left behind for the next. */
interface AttemptResult {
  readonly attempt: Attempt;
  readonly delivered: Buffer;
  /** Version that the answer says it is from. */
  readonly version: string;
  readonly resumeToken: string;
  /** When it is worthwhile to go on. */
  readonly retryMs: number;
}

/** Sends model requests as one member and verifies every byte. */
export class ModelCaller {
  constructor(
    private readonly member: Credential,
    private readonly addresses: AddressBook,
  ) {}

  /**
   * Sends a request until it is answered, or its deadline has passed. A
   * request that was refused before it ran is sent again, elsewhere if the
   * host is gone; a broken stream is resumed on the next host.
   */
  async send(call: ModelCall): Promise<ModelRecord> {
    const sentMs = Date.now();
    const deadline = performance.now() + call.deadlineMs;
    const attempts: Attempt[] = [];
    let last: AttemptResult | undefined;
    while (attempts.length < MAXIMUM_ATTEMPTS) {
      const resumable = last !== undefined && mayResume(last);
      const marginMs = resumable ? RESUME_MARGIN_MS : 0;
      const remainingMs = Math.round(deadline + marginMs - performance.now());
      if (remainingMs <= 0) {
        break;
      }
      const address = await this.addressFor(call, attempts);
      last =
        last !== undefined && resumable
          ? await this.resume(call, address, remainingMs, last)
          : await this.attempt(call, address, remainingMs);
      attempts.push(last.attempt);
      if (!mayResume(last) && !mayRepeat(last.attempt.end)) {
        break;
      }
      await sleep(Math.min(last.retryMs, remainingMs));
    }
    const {adapter, priorityClass} = call.adapter;
    return {
      kind: 'model',
      nonce: call.nonce,
      member: this.member.name,
      adapter,
      priorityClass,
      versions: call.versions,
      sentMs,
      attempts,
    };
  }

  private async addressFor(
    {model}: ModelCall,
    attempts: readonly Attempt[],
  ): Promise<string> {
    const addresses = await this.addresses.lookUp({model});
    const failed = attempts.filter(({end}) => isHostSuspect(end));
    return addresses[failed.length % Math.max(1, addresses.length)] ?? '';
  }

  private async attempt(
    call: ModelCall,
    address: string,
    remainingMs: number,
  ): Promise<AttemptResult> {
    const answer = await exchange({
      address,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        ...this.headers,
        'content-type': 'application/json',
        'x-deadline-ms': `${remainingMs}`,
      },
      body: toModelBody(call, this.member.name),
      timeoutMs: remainingMs + SILENCE_MARGIN_MS,
    });
    const read = readAnswer(answer);
    const {requestId} = read;
    const expected = this.expect(call, requestId, read.version);
    return {
      attempt: {
        requestId,
        address,
        resumed: false,
        end: judgeAnswer(answer, read, expected),
      },
      delivered: read.delivered,
      version: read.version,
      resumeToken: read.resumeToken,
      retryMs: read.error?.retryAfterMs ?? DEFAULT_RETRY_MS,
    };
  }

  private async resume(
    call: ModelCall,
    address: string,
    remainingMs: number,
    {attempt: {requestId}, delivered, resumeToken, version}: AttemptResult,
  ): Promise<AttemptResult> {
    const answer = await exchange({
      address,
      path: `/v1/streams/${requestId}?offset=${delivered.length}`,
      method: 'GET',
      headers: {...this.headers, 'x-resume-token': resumeToken},
      timeoutMs: remainingMs + SILENCE_MARGIN_MS,
    });
    const read = readAnswer(answer);
    const all = Buffer.concat([delivered, read.delivered]);
    const expected = this.expect(call, requestId, version);
    return {
      attempt: {
        requestId,
        address,
        resumed: true,
        end: judgeAnswer(answer, {...read, delivered: all}, expected),
      },
      delivered: all,
      version,
      resumeToken: read.resumeToken || resumeToken,
      retryMs: read.error?.retryAfterMs ?? DEFAULT_RETRY_MS,
    };
  }

  private expect(call: ModelCall, requestId: string, version: string): Buffer {
    return expectedAnswer(call, this.member.name, requestId, version);
  }

  private get headers(): Record<string, string> {
    return {authorization: `Bearer ${this.member.token}`};
  }
}

/** Codes that end an answer for good. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'timeout',
  'answer-not-kept',
  'unknown-request',
  'upstream-failed',
]);

/** Whether the rest of the answer can be asked for. */
const mayResume = ({attempt: {end, resumed}, resumeToken}: AttemptResult) => {
  if (resumeToken === '') {
    return false;
  }
  return (
    end.kind === 'broken' ||
    (end.kind === 'not-connected' && resumed) ||
    (end.kind === 'refused' && !FINAL_CODES.has(end.code))
  );
};

/** Whether the request may be sent again as a whole. */
const mayRepeat = (end: AttemptEnd): boolean =>
  end.kind === 'not-connected' ||
  (end.kind === 'refused' && end.notRun) ||
  (end.kind === 'broken' && end.deliveredBytes === 0);

/** Whether another host is the better choice for the next attempt. */
const isHostSuspect = (end: AttemptEnd): boolean =>
  end.kind === 'not-connected' ||
  end.kind === 'broken' ||
  (end.kind === 'refused' && end.deliveredBytes > 0);
