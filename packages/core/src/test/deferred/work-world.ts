import type {RequestDescription} from '../../request.js';
import type {SendOutcome} from '../../refusal.js';
import type {StoreResult} from '../../store.js';
import type {WorkStatus} from '../../deferred/index.js';
import {FakeStore} from '../lib/fake-store.js';
import {
  hostListOf,
  TestHost,
  type EffectOf,
  type TestClock,
} from '../lib/test-host.js';

/** How the model of the store treats one call. */
export type StoreTreatment =
  'answered' | 'answer-lost' | 'call-lost' | 'unavailable';

/** Hosts that share a store and run work. */
export class WorkWorld {
  readonly clock: TestClock = {nowMs: 0};
  readonly store = new FakeStore();
  readonly hosts: TestHost[] = [];
  /** Requests that were answered 202. */
  readonly accepted = new Set<string>();
  /** Requests that were told that nothing was stored. */
  readonly refusedNotRun = new Set<string>();
  /** Requests in the order in which they ran. */
  readonly runs: string[] = [];
  readonly statuses: WorkStatus[] = [];
  private starts = 0;

  constructor(private readonly names: readonly string[]) {
    for (const name of names) {
      this.hosts.push(this.start(name));
    }
  }

  submit(
    host: number,
    request: RequestDescription,
    body = 'body',
    remainingMs = 3_600_000,
  ): void {
    this.host(host).post({
      type: 'work-submitted',
      request,
      body,
      remainingMs,
    });
    this.collect();
  }

  crash(host: number): void {
    this.hosts[host] = this.start(this.host(host).host);
  }

  stepStore(host: number, treatment: StoreTreatment): boolean {
    const target = this.host(host);
    const [request, ...rest] = target.take('store-request');
    if (request === undefined) {
      return false;
    }
    target.effects.push(...rest);
    target.post({
      type: 'store-responded',
      area: 'deferred',
      correlation: request.correlation,
      result: this.treat(request, treatment),
      sentAt: {monotonicMs: this.clock.nowMs, wallMs: this.clock.nowMs},
    });
    this.collect();
    return true;
  }

  /** Ends the oldest running work of a host. */
  stepWork(host: number, outcome: SendOutcome, answer?: string): boolean {
    const target = this.host(host);
    const [run, ...rest] = target.take('run-work');
    if (run === undefined) {
      return false;
    }
    target.effects.push(...rest);
    const {requestId} = run.request;
    this.runs.push(requestId);
    target.post({
      type: 'work-finished',
      requestId,
      outcome,
      answer: outcome.kind === 'answered' ? (answer ?? run.body) : undefined,
    });
    this.collect();
    return true;
  }

  wait(milliseconds: number): void {
    this.clock.nowMs += milliseconds;
    for (const host of this.hosts) {
      host.fireDue();
    }
    this.collect();
  }

  /** Lets everything happen without faults, scans for lost work included. */
  settle(): void {
    for (let round = 0; round < 60; round += 1) {
      this.wait(15_000);
      this.drain();
    }
  }

  /** Answers every call and run that is open. */
  drain(): void {
    let moved = true;
    while (moved) {
      moved = false;
      for (const index of this.hosts.keys()) {
        const stored = this.stepStore(index, 'answered');
        const ran = this.stepWork(index, {kind: 'answered', status: 200});
        moved ||= stored || ran;
      }
    }
  }

  /** What a host tells a member of its work. */
  query(
    host: number,
    requestId: string,
    member: string,
  ): WorkStatus | undefined {
    this.host(host).post({
      type: 'work-queried',
      query: 'query',
      requestId,
      member,
    });
    this.collect();
    this.drain();
    return this.statuses.pop();
  }

  private host(index: number): TestHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`no host ${index}`);
    }
    return host;
  }

  private start(name: string): TestHost {
    const host = new TestHost(name, 'deferred', this.clock, this.starts++);
    host.post({type: 'started'});
    host.post({type: 'host-list-read', hostList: hostListOf(this.names, [])});
    return host;
  }

  private treat(
    {operation}: EffectOf<'store-request'>,
    treatment: StoreTreatment,
  ): StoreResult {
    if (treatment === 'unavailable') {
      return {type: 'unavailable', retryAfterMs: 500};
    }
    if (treatment === 'call-lost') {
      return {type: 'unknown'};
    }
    const result = this.store.apply(operation);
    return treatment === 'answered' ? result : {type: 'unknown'};
  }

  /** Takes the answers of all hosts, and delivers their messages. */
  private collect(): void {
    for (const host of this.hosts) {
      for (const {requestId} of host.take('accept-work')) {
        this.accepted.add(requestId);
      }
      for (const {requestId, refusal} of host.take('refuse-work')) {
        if (refusal.notRun) {
          this.refusedNotRun.add(requestId);
        }
      }
      for (const {status} of host.take('answer-work-query')) {
        this.statuses.push(status);
      }
      for (const {to, message} of host.take('send-peer-message')) {
        if (
          message.type === 'work-inquiry' ||
          message.type === 'work-not-held'
        ) {
          const receiver = this.hosts.find((other) => other.host === to);
          receiver?.post({
            type: 'peer-message',
            from: host.host,
            fromIncarnation: host.state.identity.incarnation,
            message,
          });
        }
      }
    }
  }
}
