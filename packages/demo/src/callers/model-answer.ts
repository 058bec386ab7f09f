import {AnswerText} from '@basilworks/stand-ins';

import type {CatalogueAdapter} from '../catalogue.js';
import type {AttemptEnd} from '../history.js';
import {
  type ErrorBody,
  type Exchange,
  headerOf,
  parseErrorBody,
} from './exchange.js';

const ERROR_EVENT = '\n\nevent: error\ndata: ';

/** A model request to be sent. */
export interface ModelCall {
  readonly adapter: CatalogueAdapter;
  /** As the caller names it: `adapter@version`, or the adapter alone. */
  readonly model: string;
  /** Versions that are right for what was named. */
  readonly versions: readonly string[];
  readonly nonce: string;
  readonly stream: boolean;
  readonly tokens: number;
  readonly deadlineMs: number;
}

/** Body of a model request; the nonce makes its answer unique. */
export const toModelBody = (call: ModelCall, member: string): string =>
  JSON.stringify({
    model: call.model,
    messages: [{role: 'user', content: call.nonce}],
    user: member,
    stream: call.stream,
    max_tokens: call.tokens,
    priority_class: call.adapter.priorityClass,
  });

/** The one right answer to a model request by an adapter's version. */
export const expectedAnswer = (
  call: ModelCall,
  member: string,
  requestId: string,
  version: string,
): Buffer => {
  const {adapter} = call.adapter;
  const text = new AnswerText({
    requestId,
    adapter,
    version,
    user: member,
    prompt: call.nonce,
  });
  return call.stream
    ? text.stream(0, call.tokens, true)
    : text.whole(call.tokens);
};

/** What came back on one connection, told apart. */
export interface ReadAnswer {
  /** Bytes of the answer itself, without an error that follows them. */
  readonly delivered: Buffer;
  readonly error: ErrorBody | undefined;
  /** Identity that the host gave the request; empty if unknown. */
  readonly requestId: string;
  /** Version that the answer says it is from; empty if unknown. */
  readonly version: string;
  /** Continues the answer on any host; empty if there is none. */
  readonly resumeToken: string;
}

/** Tells the answer's bytes from an error that was given instead or after. */
export const readAnswer = (answer: Exchange): ReadAnswer => {
  const {status, body} = answer;
  const index = status === 200 ? body.indexOf(ERROR_EVENT) : 0;
  const errorText =
    index < 0
      ? ''
      : body
          .subarray(status === 200 ? index + ERROR_EVENT.length : 0)
          .toString('utf8');
  const error = parseErrorBody(errorText.trim());
  return {
    delivered: index < 0 ? body : body.subarray(0, index),
    error,
    requestId: headerOf(answer, 'x-request-id') || (error?.requestId ?? ''),
    version: headerOf(answer, 'x-version'),
    resumeToken: headerOf(answer, 'x-resume-token'),
  };
};

/** Compares all that was delivered so far with the one right answer. */
export const judgeAnswer = (
  answer: Exchange,
  {delivered, error}: Pick<ReadAnswer, 'delivered' | 'error'>,
  expected: Buffer,
): AttemptEnd => {
  if (answer.end === 'no-connection') {
    return {kind: 'not-connected'};
  }
  const deliveredBytes = delivered.length;
  if (!expected.subarray(0, deliveredBytes).equals(delivered)) {
    return {kind: 'wrong', detail: `unexpected bytes, ${answer.status}`};
  }
  if (error !== undefined) {
    const {code, notRun} = error;
    return {kind: 'refused', code, notRun, deliveredBytes};
  }
  if (answer.end === 'timeout') {
    return {kind: 'silent'};
  }
  return answer.end === 'complete' && deliveredBytes === expected.length
    ? {
        kind: 'whole',
        adapter: headerOf(answer, 'x-adapter'),
        version: headerOf(answer, 'x-version'),
      }
    : {kind: 'broken', deliveredBytes};
};
