import type {CallDescription, RecordedResponse} from '../../calls/index.js';
import type {Refusal, SendOutcome} from '../../refusal.js';
import type {StoreResult} from '../../store.js';
import {FakeStore} from '../lib/fake-store.js';
import {
  hostListOf,
  TestHost,
  type EffectOf,
  type TestClock,
} from '../lib/test-host.js';

const HOST_LIST_INTERVAL_MS = 10_000;
const SERVERS = ['billing-1', 'billing-2', 'billing-3'];

/** How the model of the store treats one call. */
export type StoreTreatment =
  'answered' | 'answer-lost' | 'call-lost' | 'late' | 'unavailable';

/** How the model of a plain server treats one call. */
export type ServerTreatment =
  'answered' | 'answer-lost' | 'call-lost' | 'refused' | 'not-sent';

/** What one host told one caller. */
export interface CallerAnswer {
  readonly call: CallDescription;
  readonly response: RecordedResponse | undefined;
  readonly refusal: Refusal | undefined;
}

const REFUSAL: Refusal = {code: 'upstream-failed', notRun: false, detail: ''};

/** Hosts that share a store and plain servers; no step happens by itself. */
export class CallWorld {
  readonly clock: TestClock = {nowMs: 0};
  readonly store = new FakeStore();
  readonly hosts: TestHost[] = [];
  readonly answers: CallerAnswer[] = [];
  /** Requests that ran, in order. */
  readonly runs: CallDescription[] = [];
  private readonly late: EffectOf<'store-request'>['operation'][] = [];
  private readonly calls = new Map<string, CallDescription>();
  private starts = 0;

  constructor(private readonly names: readonly string[]) {
    for (const name of names) {
      this.hosts.push(this.start(name));
    }
  }

  submit(host: number, call: CallDescription, remainingMs = 10_000): void {
    this.calls.set(call.requestId, call);
    this.host(host).post({type: 'call-submitted', call, remainingMs});
    this.collect(host);
  }

  /** Ends a host's process and starts it anew, with nothing in memory. */
  crash(host: number): void {
    const {host: name} = this.host(host);
    this.hosts[host] = this.start(name);
  }

  /** Treats the oldest call to the store of a host. */
  stepStore(host: number, treatment: StoreTreatment): void {
    const target = this.host(host);
    const [request, ...rest] = target.take('store-request');
    if (request === undefined) {
      return;
    }
    target.effects.push(...rest);
    target.post({
      type: 'store-responded',
      area: 'calls',
      correlation: request.correlation,
      result: this.treatStoreCall(request, treatment),
      sentAt: {monotonicMs: this.clock.nowMs, wallMs: this.clock.nowMs},
    });
    this.collect(host);
  }

  /** Treats the oldest call to a plain server of a host, if there is one. */
  stepServer(host: number, treatment: ServerTreatment): boolean {
    const target = this.host(host);
    const [send, ...rest] = target.take('send-call');
    if (send === undefined) {
      return false;
    }
    target.effects.push(...rest);
    if (treatment === 'answered' || treatment === 'answer-lost') {
      this.runs.push(send.call);
    }
    const {requestId} = send.call;
    target.post({
      type: 'call-attempt-finished',
      requestId,
      attemptId: send.attemptId,
      server: send.server,
      outcome: OUTCOMES[treatment],
      response: treatment === 'answered' ? responseTo(send.call) : undefined,
    });
    this.collect(host);
    return true;
  }

  /** Shows a host list in which a server is marked as leaving. */
  leave(leaving: string): void {
    const {entryHosts, servers} = hostListOf(this.names, SERVERS);
    this.clock.nowMs += HOST_LIST_INTERVAL_MS;
    for (const host of this.hosts) {
      host.post({type: 'timer-fired', area: 'membership', timer: 'refresh'});
      host.post({
        type: 'host-list-read',
        hostList: {
          version: 2,
          entryHosts,
          servers: servers.map((server) =>
            server.server === leaving ? {...server, state: 'leaving'} : server,
          ),
        },
      });
    }
  }

  /** Lets a lost write take effect now. */
  stepLate(): void {
    const operation = this.late.shift();
    if (operation !== undefined) {
      this.store.apply(operation);
    }
  }

  /** Passes time and fires what is due. */
  wait(milliseconds: number): void {
    this.clock.nowMs += milliseconds;
    this.hosts.forEach((host, index) => {
      host.fireDue();
      this.collect(index);
    });
  }

  /** Answers every call at once until nothing is left to do. */
  settle(): void {
    for (let round = 0; round < 50; round += 1) {
      for (const index of this.hosts.keys()) {
        this.stepStore(index, 'answered');
        this.stepServer(index, 'answered');
      }
    }
  }

  answersTo(requestId: string): readonly CallerAnswer[] {
    return this.answers.filter(({call}) => call.requestId === requestId);
  }

  private host(index: number): TestHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`no host ${index}`);
    }
    return host;
  }

  private start(name: string): TestHost {
    const host = new TestHost(name, 'calls', this.clock, this.starts++);
    host.post({type: 'started'});
    host.post({
      type: 'host-list-read',
      hostList: hostListOf(this.names, SERVERS),
    });
    return host;
  }

  private treatStoreCall(
    {operation}: EffectOf<'store-request'>,
    treatment: StoreTreatment,
  ): StoreResult {
    if (treatment === 'unavailable') {
      return {type: 'unavailable', retryAfterMs: 500};
    }
    if (treatment === 'late') {
      this.late.push(operation);
    }
    if (treatment === 'call-lost' || treatment === 'late') {
      return {type: 'unknown'};
    }
    const result = this.store.apply(operation);
    return treatment === 'answered' ? result : {type: 'unknown'};
  }

  private collect(index: number): void {
    const host = this.host(index);
    for (const {requestId, response} of host.take('reply-call')) {
      this.answer(requestId, response, undefined);
    }
    for (const {requestId, refusal} of host.take('refuse-call')) {
      this.answer(requestId, undefined, refusal);
    }
  }

  private answer(
    requestId: string,
    response: RecordedResponse | undefined,
    refusal: Refusal | undefined,
  ): void {
    const call = this.calls.get(requestId);
    if (call !== undefined) {
      this.answers.push({call, response, refusal});
    }
  }
}

/** The answer that the plain service gives to a request. */
export const responseTo = ({requestId}: CallDescription): RecordedResponse => ({
  status: 200,
  contentType: 'text/plain',
  bodyBase64: Buffer.from(`receipt of ${requestId}`).toString('base64'),
});

const OUTCOMES: Readonly<Record<ServerTreatment, SendOutcome>> = {
  answered: {kind: 'answered', status: 200},
  'answer-lost': {kind: 'unknown', refusal: REFUSAL, deliveredBytes: 0},
  'call-lost': {kind: 'unknown', refusal: REFUSAL, deliveredBytes: 0},
  refused: {kind: 'refused-before-run', refusal: {...REFUSAL, notRun: true}},
  'not-sent': {kind: 'not-sent', refusal: {...REFUSAL, notRun: true}},
};
