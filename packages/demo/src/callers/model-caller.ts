import {setTimeout as sleep} from 'node:timers/promises';

import {AnswerText} from '@basilworks/stand-ins';

import type {CatalogueAdapter} from '../catalogue.js';
import type {Attempt, AttemptEnd, ModelRecord} from '../history.js';
import type {Credential} from '../launch/entry-host-process.js';
import type {AddressBook} from './address-book.js';
import {
  type ErrorBody,
  exchange,
  type Exchange,
  headerOf,
  parseErrorBody,
} from './exchange.js';

/** Time beyond the deadline after which a missing answer counts as lost. */
const SILENCE_MARGIN_MS = 10_000;
const MAXIMUM_ATTEMPTS = 8;
const DEFAULT_RETRY_MS = 300;
const ERROR_EVENT = '\n\nevent: error\ndata: ';

/** A model request to be sent. */
export interface ModelCall {
  readonly adapter: CatalogueAdapter;
  readonly nonce: string;
  readonly stream: boolean;
  readonly tokens: number;
  readonly deadlineMs: number;
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
   * host is gone; a broken stream is resumed.
   */
  async send(call: ModelCall): Promise<ModelRecord> {
    const sentMs = Date.now();
    const deadline = performance.now() + call.deadlineMs;
    const attempts: Attempt[] = [];
    while (attempts.length < MAXIMUM_ATTEMPTS) {
      const remainingMs = Math.round(deadline - performance.now());
      if (remainingMs <= 0) {
        break;
      }
      const address = await this.addressFor(call, attempts);
      const result = await this.attempt(call, address, remainingMs);
      attempts.push(result.attempt);
      if (!mayRepeat(result.attempt.end)) {
        break;
      }
      await sleep(Math.min(result.retryMs, remainingMs));
    }
    const {adapter, version, priorityClass} = call.adapter;
    return {
      kind: 'model',
      nonce: call.nonce,
      member: this.member.name,
      adapter,
      priorityClass,
      versions: [version],
      sentMs,
      attempts,
    };
  }

  private async addressFor(
    {adapter}: ModelCall,
    attempts: readonly Attempt[],
  ): Promise<string> {
    const model = `${adapter.adapter}@${adapter.version}`;
    const addresses = await this.addresses.lookUp({model});
    const failed = attempts.filter(({end}) => end.kind === 'not-connected');
    return addresses[failed.length % Math.max(1, addresses.length)] ?? '';
  }

  private async attempt(
    call: ModelCall,
    address: string,
    remainingMs: number,
  ): Promise<{readonly attempt: Attempt; readonly retryMs: number}> {
    const answer = await exchange({
      address,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        authorization: `Bearer ${this.member.token}`,
        'content-type': 'application/json',
        'x-deadline-ms': `${remainingMs}`,
      },
      body: JSON.stringify({
        model: `${call.adapter.adapter}@${call.adapter.version}`,
        messages: [{role: 'user', content: call.nonce}],
        user: this.member.name,
        stream: call.stream,
        max_tokens: call.tokens,
        priority_class: call.adapter.priorityClass,
      }),
      timeoutMs: remainingMs + SILENCE_MARGIN_MS,
    });
    const error = errorOf(answer);
    return {
      attempt: {
        requestId: headerOf(answer, 'x-request-id') || (error?.requestId ?? ''),
        address,
        resumed: false,
        end: this.judge(call, answer, error),
      },
      retryMs: error?.retryAfterMs ?? DEFAULT_RETRY_MS,
    };
  }

  /** Compares what came back with the one right answer. */
  private judge(
    call: ModelCall,
    answer: Exchange,
    error: ErrorBody | undefined,
  ): AttemptEnd {
    if (answer.end === 'no-connection') {
      return {kind: 'not-connected'};
    }
    if (answer.end === 'timeout') {
      return {kind: 'silent'};
    }
    const delivered = deliveredPart(answer);
    if (error !== undefined) {
      const {code, notRun} = error;
      const deliveredBytes = delivered.length;
      return {kind: 'refused', code, notRun, deliveredBytes};
    }
    const expected = this.expectedAnswer(
      call,
      headerOf(answer, 'x-request-id'),
    );
    if (answer.end === 'complete' && delivered.equals(expected)) {
      return {
        kind: 'whole',
        adapter: headerOf(answer, 'x-adapter'),
        version: headerOf(answer, 'x-version'),
      };
    }
    return expected.subarray(0, delivered.length).equals(delivered)
      ? {kind: 'broken', deliveredBytes: delivered.length}
      : {kind: 'wrong', detail: `unexpected bytes, status ${answer.status}`};
  }

  private expectedAnswer(call: ModelCall, requestId: string): Buffer {
    const {adapter, version} = call.adapter;
    const user = this.member.name;
    const prompt = call.nonce;
    const text = new AnswerText({requestId, adapter, version, user, prompt});
    return call.stream
      ? text.stream(0, call.tokens, true)
      : text.whole(call.tokens);
  }
}

/** Whether the end allows the caller to send the request again. */
const mayRepeat = (end: AttemptEnd): boolean =>
  end.kind === 'not-connected' ||
  (end.kind === 'refused' && end.notRun) ||
  (end.kind === 'broken' && end.deliveredBytes === 0);

const errorOf = ({status, body}: Exchange): ErrorBody | undefined => {
  const text = body.toString('utf8');
  if (status !== 200) {
    return parseErrorBody(text);
  }
  const index = text.indexOf(ERROR_EVENT);
  return index < 0
    ? undefined
    : parseErrorBody(text.slice(index + ERROR_EVENT.length).trim());
};

/** The bytes of the answer itself, without an error that follows them. */
const deliveredPart = ({status, body}: Exchange): Buffer => {
  if (status !== 200) {
    return Buffer.alloc(0);
  }
  const index = body.indexOf(ERROR_EVENT);
  return index < 0 ? body : body.subarray(0, index);
};
