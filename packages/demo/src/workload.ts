import {setTimeout as sleep} from 'node:timers/promises';

import type {Random} from '@basilworks/stand-ins';

import {AddressBook} from './callers/address-book.js';
import {ModelCaller} from './callers/model-caller.js';
import type {Catalogue} from './catalogue.js';
import type {Fleet} from './fleet.js';
import type {CallerRecord} from './history.js';

const MODEL_DEADLINE_MS = 20_000;
const MAXIMUM_TOKENS = 48;
const MINIMUM_TOKENS = 8;
const STREAMED_SHARE = 0.8;
const MS_PER_SECOND = 1_000;

/** How much is asked for, and for how long. */
export interface WorkloadOptions {
  readonly seconds: number;
  readonly requestsPerSecond: number;
}

/** Sends requests at random times, whether or not earlier ones are answered. */
export class Workload {
  readonly records: CallerRecord[] = [];
  private readonly modelCallers: readonly ModelCaller[];
  private sent = 0;

  constructor(
    fleet: Fleet,
    private readonly catalogue: Catalogue,
    private readonly random: Random,
    private readonly options: WorkloadOptions,
  ) {
    const seeds = fleet.hosts.map(({entry}) => entry.callerAddress);
    this.modelCallers = fleet.members.map(
      (member) => new ModelCaller(member, new AddressBook(seeds, member.token)),
    );
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

  private async sendOne(nonce: string): Promise<CallerRecord> {
    const {random, modelCallers} = this;
    const caller = modelCallers[Math.floor(random() * modelCallers.length)];
    if (caller === undefined) {
      throw new RangeError('there are no members');
    }
    return caller.send({
      adapter: this.catalogue.pick(random),
      nonce,
      stream: random() < STREAMED_SHARE,
      tokens:
        MINIMUM_TOKENS +
        Math.floor(random() * (MAXIMUM_TOKENS - MINIMUM_TOKENS)),
      deadlineMs: MODEL_DEADLINE_MS,
    });
  }
}
