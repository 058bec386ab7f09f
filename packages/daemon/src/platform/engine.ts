import type {IncomingHttpHeaders} from 'node:http';

import type {
  AdapterOrderFinishedEvent,
  Refusal,
  SendOutcome,
} from '@basilworks/core';
import {
  type AdapterOrder,
  type CacheEvents,
  cacheEventsSchema,
  engineErrorSchema,
  type EngineError,
  type LoadReport,
  loadReportSchema,
} from '@basilworks/protocol';

import type {AnswerSink, AnswerSource} from '../lib/answer.js';
import {parseJson} from '../lib/parse-json.js';
import {
  type ExchangeAnswer,
  type ExchangeListener,
  type HttpClient,
} from './exchange.js';
import {toFailedOutcome} from './failed-outcome.js';

const ORDER_TIMEOUT_MS = 30_000;
const READ_TIMEOUT_MS = 2_000;

/** Longest error body that is read from an engine, bytes. */
const ERROR_BODY_LIMIT_BYTES = 16_384;

/** A request for one generated answer. */
export interface EngineExecution {
  /** Address of the engine, IP number and port. */
  readonly address: string;
  readonly executionId: string;
  readonly requestId: string;
  readonly fencingNumber: number;
  readonly priority: number;
  /** Key of the prompt prefix in the engine's cache; may be empty. */
  readonly promptCacheKey: string;
  readonly body: Buffer;
  /** Continues the execution's answer instead of starting it. */
  readonly resumeOffsetBytes: number | undefined;
  /** Milliseconds until the answer must have begun. */
  readonly timeoutMs: number;
  /** Asked in the same turn as the socket write. */
  readonly mayWrite: () => boolean;
}

export type OrderOutcome = AdapterOrderFinishedEvent['outcome'];

/** Model engines. */
export interface EngineClient {
  /** Runs or resumes an execution and relays the answer's bytes. */
  execute(execution: EngineExecution, sink: AnswerSink): AnswerSource;
  /** Frees the position of an execution. */
  cancel(address: string, executionId: string): Promise<void>;
  /** Orders a load or an unload. Never rejects. */
  order(
    address: string,
    kind: 'load' | 'unload',
    order: AdapterOrder,
    mayWrite: () => boolean,
  ): Promise<OrderOutcome>;
  /** Undefined when the engine did not answer. */
  readReport(address: string): Promise<LoadReport | undefined>;
  /** Undefined when the engine did not answer. */
  readCacheEvents(
    address: string,
    after: number,
  ): Promise<CacheEvents | undefined>;
}

/** Engines over HTTP. */
export class HttpEngineClient implements EngineClient {
  constructor(private readonly client: HttpClient) {}

  execute(execution: EngineExecution, sink: AnswerSink): AnswerSource {
    const isResume = execution.resumeOffsetBytes !== undefined;
    const listener = new ExecutionListener(sink, execution.mayWrite, isResume);
    return this.client.start(
      {
        origin: `http://${execution.address}`,
        timeoutMs: execution.timeoutMs,
        timeoutScope: 'head',
        ...(execution.resumeOffsetBytes === undefined
          ? toStart(execution)
          : toResume(execution, execution.resumeOffsetBytes)),
      },
      listener,
    );
  }

  async cancel(address: string, executionId: string): Promise<void> {
    await this.client.run({
      origin: `http://${address}`,
      path: streamPath(executionId),
      method: 'DELETE',
      timeoutMs: READ_TIMEOUT_MS,
    });
  }

  async order(
    address: string,
    kind: 'load' | 'unload',
    order: AdapterOrder,
    mayWrite: () => boolean,
  ): Promise<OrderOutcome> {
    return new Promise((resolve) => {
      this.client.start(
        {
          origin: `http://${address}`,
          path: `/adapters/${kind}`,
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(order),
          timeoutMs: ORDER_TIMEOUT_MS,
        },
        new OrderListener(resolve, mayWrite),
      );
    });
  }

  async readReport(address: string): Promise<LoadReport | undefined> {
    const answer = await this.read(address, '/load');
    return loadReportSchema.safeParse(answer).data;
  }

  async readCacheEvents(
    address: string,
    after: number,
  ): Promise<CacheEvents | undefined> {
    const answer = await this.read(address, `/cache-events?after=${after}`);
    return cacheEventsSchema.safeParse(answer).data;
  }

  private async read(address: string, path: string): Promise<unknown> {
    const result = await this.client.run({
      origin: `http://${address}`,
      path,
      method: 'GET',
      timeoutMs: READ_TIMEOUT_MS,
    });
    return result.isOk() && result.value.status === 200
      ? parseJson(result.value.body.toString('utf8'))
      : undefined;
  }
}

const toStart = (execution: EngineExecution) => ({
  path: '/v1/chat/completions',
  method: 'POST' as const,
  body: execution.body,
  headers: {
    'content-type': 'application/json',
    'x-request-id': execution.requestId,
    'x-execution-id': execution.executionId,
    'x-fencing-number': `${execution.fencingNumber}`,
    'x-priority': `${execution.priority}`,
    'x-prompt-cache-key': execution.promptCacheKey,
  },
});

const toResume = ({executionId}: EngineExecution, offsetBytes: number) => ({
  path: `${streamPath(executionId)}?offset=${offsetBytes}`,
  method: 'GET' as const,
});

const streamPath = (executionId: string): string =>
  `/v1/streams/${encodeURIComponent(executionId)}`;

/** Codes by which an engine says that nothing ran. */
const REFUSALS_BEFORE_RUN: ReadonlySet<EngineError['error']['code']> = new Set([
  'adapter-not-resident',
  'stale-fencing',
  'queue-full',
] as const);

/** Relays a good answer and turns any other into an outcome. */
class ExecutionListener implements ExchangeListener {
  private status = 0;
  private readonly errorBody: Buffer[] = [];
  private errorBytes = 0;
  private deliveredBytes = 0;

  constructor(
    private readonly sink: AnswerSink,
    readonly mayWrite: () => boolean,
    private readonly isResume: boolean,
  ) {}

  onHead(status: number, headers: IncomingHttpHeaders): void {
    this.status = status;
    if (status === 200) {
      this.sink.head({
        status,
        contentType: headers['content-type'] ?? 'application/json',
        adapter: headerText(headers['x-adapter']),
        version: headerText(headers['x-version']),
      });
    }
  }

  onData(chunk: Buffer): boolean {
    if (this.status === 200) {
      this.deliveredBytes += chunk.length;
      return this.sink.data(chunk);
    }
    this.errorBytes += chunk.length;
    if (this.errorBytes <= ERROR_BODY_LIMIT_BYTES) {
      this.errorBody.push(chunk);
    }
    return true;
  }

  onEnd(): void {
    const {status} = this;
    const body = Buffer.concat(this.errorBody);
    this.sink.end(
      status === 200
        ? {kind: 'answered', status}
        : this.isResume
          ? toFailedResume(status, body)
          : toErrorOutcome(status, body),
    );
  }

  onFailure(error: Parameters<ExchangeListener['onFailure']>[0]): void {
    this.sink.end(toFailedOutcome(error, this.deliveredBytes));
  }
}

const toErrorOutcome = (status: number, body: Buffer): SendOutcome => {
  const error = engineErrorSchema.safeParse(parseJson(body.toString('utf8')))
    .data?.error;
  if (error === undefined || !REFUSALS_BEFORE_RUN.has(error.code)) {
    return {kind: 'answered', status};
  }
  const refusal: Refusal = {
    code: 'upstream-refused',
    notRun: true,
    detail: `${error.code}: ${error.message}`,
  };
  return {kind: 'refused-before-run', refusal};
};

/** A resume that the engine refuses says nothing of the run itself. */
const toFailedResume = (status: number, body: Buffer): SendOutcome => {
  const error = engineErrorSchema.safeParse(parseJson(body.toString('utf8')));
  const isGone = error.data?.error.code === 'unknown-stream';
  const code = isGone ? 'unknown-request' : 'upstream-failed';
  const detail = `the engine answered ${status} to a resume`;
  const refusal: Refusal = {code, notRun: false, detail};
  return {kind: 'unknown', refusal, deliveredBytes: 0};
};

/** Turns the answer to an order into its outcome. */
class OrderListener implements ExchangeListener {
  private status = 0;
  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly resolve: (outcome: OrderOutcome) => void,
    readonly mayWrite: () => boolean,
  ) {}

  onHead(status: number): void {
    this.status = status;
  }

  onData(chunk: Buffer): boolean {
    this.chunks.push(chunk);
    return true;
  }

  onEnd(): void {
    const {status} = this;
    const body = Buffer.concat(this.chunks);
    this.resolve(status === 200 ? 'done' : toOrderOutcome({status, body}));
  }

  onFailure(error: Parameters<ExchangeListener['onFailure']>[0]): void {
    this.resolve(error.sent ? 'unknown' : 'not-sent');
  }
}

const toOrderOutcome = ({
  body,
}: Pick<ExchangeAnswer, 'status' | 'body'>): OrderOutcome => {
  const code = engineErrorSchema.safeParse(parseJson(body.toString('utf8')))
    .data?.error.code;
  switch (code) {
    case 'no-free-slot':
    case 'in-use':
    case 'stale-fencing':
      return code;
    case 'load-failed':
    case 'bad-request':
    case 'adapter-not-resident':
      return 'failed';
    default:
      return 'unknown';
  }
};

const headerText = (value: string | string[] | undefined): string =>
  typeof value === 'string' ? value : '';
