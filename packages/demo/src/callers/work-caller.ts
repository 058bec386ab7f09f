import {setTimeout as sleep} from 'node:timers/promises';

import {z} from 'zod';

import type {Attempt, AttemptEnd, WorkRecord} from '../history.js';
import type {Credential} from '../launch/entry-host-process.js';
import type {AddressBook} from './address-book.js';
import {exchange, type Exchange, parseErrorBody} from './exchange.js';
import {expectedAnswer, type ModelCall, toModelBody} from './model-answer.js';

const TIMEOUT_MS = 20_000;
const POLL_MS = 500;
const ACCEPTED_STATUS = 202;

/**
 * Time beyond its deadline after which missing work counts as lost. Work whose
 * runner was killed is found within 30 s between two scans and 32 s of a scan,
 * and has its whole deadline of 20 s then; an outage of some seconds comes on
 * top.
 */
const LOSS_MARGIN_MS = 95_000;

const acceptedSchema = z.object({requestId: z.string()});

const workStatusSchema = z.discriminatedUnion('status', [
  z.object({status: z.enum(['waiting', 'running'])}),
  z.object({status: z.literal('done'), answer: z.string()}),
  z.object({
    status: z.literal('failed'),
    refusal: z.object({code: z.string(), notRun: z.boolean()}),
  }),
]);

/** Submits work that can wait as one member and fetches its results. */
export class WorkCaller {
  constructor(
    private readonly member: Credential,
    private readonly addresses: AddressBook,
  ) {}

  /** Submits once; polls until a result, a failure, or long past the time. */
  async send(call: ModelCall): Promise<WorkRecord> {
    const {model} = call;
    const [address = ''] = await this.addresses.lookUp({model});
    const answer = await this.submit(call, address);
    const accepted =
      answer.status === ACCEPTED_STATUS
        ? acceptedSchema.safeParse(parse(answer)).data
        : undefined;
    const submission: Attempt = {
      requestId: accepted?.requestId ?? '',
      address,
      resumed: false,
      end: judgeSubmission(answer, accepted !== undefined),
    };
    return {
      kind: 'work',
      nonce: call.nonce,
      member: this.member.name,
      adapter: call.adapter.adapter,
      versions: call.versions,
      accepted: accepted !== undefined,
      submission,
      result: accepted && (await this.waitFor(call, accepted.requestId)),
    };
  }

  private submit(call: ModelCall, address: string): Promise<Exchange> {
    return exchange({
      address,
      path: '/v1/work',
      method: 'POST',
      headers: {
        ...this.headers,
        'content-type': 'application/json',
        'x-deadline-ms': `${call.deadlineMs}`,
      },
      body: toModelBody(call, this.member.name),
      timeoutMs: TIMEOUT_MS,
    });
  }

  private async waitFor(
    call: ModelCall,
    requestId: string,
  ): Promise<AttemptEnd> {
    const endMs = performance.now() + call.deadlineMs + LOSS_MARGIN_MS;
    while (performance.now() < endMs) {
      await sleep(POLL_MS);
      const status = await this.query(call.model, requestId);
      if (status?.status === 'done') {
        return this.judgeResult(call, requestId, status.answer);
      }
      if (status?.status === 'failed') {
        return {kind: 'refused', ...status.refusal, deliveredBytes: 0};
      }
    }
    return {kind: 'silent'};
  }

  private judgeResult(
    call: ModelCall,
    requestId: string,
    answer: string,
  ): AttemptEnd {
    const {adapter} = call.adapter;
    const version = call.versions.find((candidate) =>
      expectedAnswer(call, this.member.name, requestId, candidate).equals(
        Buffer.from(answer),
      ),
    );
    return version === undefined
      ? {kind: 'wrong', detail: `result of ${requestId} differs`}
      : {kind: 'whole', adapter, version};
  }

  /** Asks the hosts in turn, as the one that took the work may be gone. */
  private async query(model: string, requestId: string) {
    for (const address of await this.addresses.lookUp({model})) {
      const answer = await exchange({
        address,
        path: `/v1/work/${requestId}`,
        method: 'GET',
        headers: this.headers,
        timeoutMs: TIMEOUT_MS,
      });
      const status = workStatusSchema.safeParse(parse(answer));
      if (status.success) {
        return status.data;
      }
    }
    return undefined;
  }

  private get headers(): Record<string, string> {
    return {authorization: `Bearer ${this.member.token}`};
  }
}

const judgeSubmission = (answer: Exchange, accepted: boolean): AttemptEnd => {
  if (accepted) {
    return {kind: 'whole', adapter: '', version: ''};
  }
  if (answer.end === 'no-connection') {
    return {kind: 'not-connected'};
  }
  const error = parseErrorBody(answer.body.toString('utf8'));
  if (error !== undefined) {
    const {code, notRun} = error;
    return {kind: 'refused', code, notRun, deliveredBytes: 0};
  }
  return answer.end === 'timeout'
    ? {kind: 'silent'}
    : {kind: 'broken', deliveredBytes: 0};
};

const parse = ({body}: Exchange): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
};
