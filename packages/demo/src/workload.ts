import {setTimeout as sleep} from 'node:timers/promises';

import type {Random} from '@basilworks/stand-ins';

import {AddressBook} from './callers/address-book.js';
import type {ModelCall} from './callers/model-answer.js';
import {ModelCaller} from './callers/model-caller.js';
import {ServiceCaller} from './callers/service-caller.js';
import {WorkCaller} from './callers/work-caller.js';
import type {Catalogue} from './catalogue.js';
import type {Fleet} from './fleet.js';
import type {CallerRecord} from './history.js';
import {OPERATIONS} from './operations.js';

const MODEL_DEADLINE_MS = 20_000;
const MAXIMUM_TOKENS = 48;
const MINIMUM_TOKENS = 8;
const STREAMED_SHARE = 0.8;
const MS_PER_SECOND = 1_000;

/** Shares of the requests; the rest are model requests. */
const CALL_SHARE = 0.25;
const WORK_SHARE = 0.08;

/** Share of the model requests that name a version. */
const VERSIONED_SHARE = 0.7;

/** Share of the calls that are sent at two hosts at once. */
const CONCURRENT_SHARE = 0.2;

/** How much is asked for, and for how long. */
export interface WorkloadOptions {
  readonly seconds: number;
  readonly requestsPerSecond: number;
}

/** What one member sends with. */
interface Callers {
  readonly model: ModelCaller;
  readonly service: ServiceCaller;
  readonly work: WorkCaller;
}

/** Sends requests at random times, whether or not earlier ones are answered. */
export class Workload {
  readonly records: CallerRecord[] = [];
  private readonly callers: readonly Callers[];
  private readonly service: string;
  private sent = 0;

  constructor(
    fleet: Fleet,
    private readonly catalogue: Catalogue,
    private readonly random: Random,
    private readonly options: WorkloadOptions,
  ) {
    const seeds = fleet.hosts.map(({entry}) => entry.callerAddress);
    const {pools} = fleet.deployment;
    this.service = pools.find(({kind}) => kind === 'plain')?.pool ?? '';
    this.callers = fleet.members.map((member) => {
      const addresses = new AddressBook(seeds, member.token);
      return {
        model: new ModelCaller(member, addresses),
        service: new ServiceCaller(member, addresses),
        work: new WorkCaller(member, addresses),
      };
    });
  }

  /** Requests that were sent so far. */
  get sentCount(): number {
    return this.sent;
  }

  /** Sends for the whole time, then waits for every answer. */
  async run(): Promise<readonly CallerRecord[]> {
    const {seconds, requestsPerSecond} = this.options;
    const endMs = performance.now() + seconds * MS_PER_SECOND;
    const open: Promise<void>[] = [];
    while (performance.now() < endMs) {
      const gapMs =
        (-Math.log(1 - this.random()) / requestsPerSecond) * MS_PER_SECOND;
      await sleep(gapMs);
      this.sent += 1;
      open.push(
        this.sendOne(`request ${this.sent}`).then((record) => {
          this.records.push(record);
        }),
      );
    }
    await Promise.all(open);
    return this.records;
  }

  private sendOne(nonce: string): Promise<CallerRecord> {
    const {model, service, work} = this.pick(this.callers);
    const kind = this.random();
    if (kind < CALL_SHARE) {
      return service.send({
        service: this.service,
        operation: this.pick(OPERATIONS),
        nonce,
        concurrently: this.random() < CONCURRENT_SHARE,
      });
    }
    const call = this.toModelCall(nonce);
    return kind < CALL_SHARE + WORK_SHARE
      ? work.send({...call, stream: false})
      : model.send(call);
  }

  private toModelCall(nonce: string): ModelCall {
    const {random} = this;
    const adapter = this.catalogue.pick(random);
    const {version, versions} = adapter;
    const named =
      random() < VERSIONED_SHARE
        ? {model: `${adapter.adapter}@${version}`, versions: [version]}
        : {model: adapter.adapter, versions};
    return {
      adapter,
      ...named,
      nonce,
      stream: random() < STREAMED_SHARE,
      tokens:
        MINIMUM_TOKENS +
        Math.floor(random() * (MAXIMUM_TOKENS - MINIMUM_TOKENS)),
      deadlineMs: MODEL_DEADLINE_MS,
    };
  }

  private pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random() * items.length)];
    if (item === undefined) {
      throw new RangeError('nothing to pick from');
    }
    return item;
  }
}
