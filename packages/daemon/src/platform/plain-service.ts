import type {RecordedResponse, SendOutcome} from '@basilworks/core';
import {NOT_RUN_HEADER} from '@basilworks/protocol';

import type {ExchangeAnswer, HttpClient} from './exchange.js';
import {toFailedOutcome} from './failed-outcome.js';

/** A call to an operation of a plain service. */
export interface PlainCall {
  /** Address of the server, IP number and port. */
  readonly address: string;
  readonly operation: string;
  readonly requestId: string;
  readonly member: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** How a call to a plain service ended. */
export interface PlainCallResult {
  readonly outcome: SendOutcome;
  /** Present exactly when the outcome is `answered`. */
  readonly response: RecordedResponse | undefined;
}

/** Plain services. */
export interface PlainServiceClient {
  /** Sends a call once. Never rejects and never sends again by itself. */
  call(call: PlainCall): Promise<PlainCallResult>;
}

/** Plain services over HTTP. */
export class HttpPlainServiceClient implements PlainServiceClient {
  constructor(private readonly client: HttpClient) {}

  async call(call: PlainCall): Promise<PlainCallResult> {
    const result = await this.client.run({
      origin: `http://${call.address}`,
      path: `/operations/${encodeURIComponent(call.operation)}`,
      method: 'POST',
      headers: {
        'content-type': call.contentType,
        'x-request-id': call.requestId,
        'x-member': call.member,
      },
      body: call.body,
      timeoutMs: call.timeoutMs,
    });
    return result.match(toResult, (error) => ({
      outcome: toFailedOutcome(error, 0),
      response: undefined,
    }));
  }
}

const toResult = ({status, headers, body}: ExchangeAnswer): PlainCallResult => {
  if (status === 503 && headers[NOT_RUN_HEADER] === 'true') {
    const detail = body.toString('utf8', 0, 200);
    const refusal = {code: 'upstream-refused' as const, notRun: true, detail};
    return {
      outcome: {kind: 'refused-before-run', refusal},
      response: undefined,
    };
  }
  return {
    outcome: {kind: 'answered', status},
    response: {
      status,
      contentType: headers['content-type'] ?? 'application/octet-stream',
      bodyBase64: body.toString('base64'),
    },
  };
};
