import type {Random} from '../lib/random.js';
import type {Scheduler} from './scheduler.js';

/** One call as the service received it. */
export interface PlainCall {
  readonly operation: string;
  readonly member: string;
  /** Identifies what the call is about; a repeat has the same body. */
  readonly body: string;
}

/** What is wrong with the service at present. */
export interface PlainServiceFaults {
  /** Share of calls that are refused before they run. */
  refuseProbability: number;
  /** Share of calls that run and whose answer is lost. */
  lostAnswerProbability: number;
  /** This many of the next calls run and lose their answers. */
  loseNextAnswers: number;
  /** Added to the latency of each call. */
  delayMs: number;
}

/** How a call ended as its sender sees it. */
export type PlainCallEnd =
  | {readonly kind: 'answered'; readonly call: PlainCall; readonly run: number}
  | {readonly kind: 'refused'}
  | {readonly kind: 'answer-lost'};

/** Runs of one call; above one, the call was doubled. */
export interface PlainRunCount extends PlainCall {
  readonly runs: number;
  readonly lastRunMs: number;
}

/** A plain service that counts how often each call ran. */
export class PlainServiceModel {
  private readonly runs = new Map<string, PlainRunCount>();
  private faults: PlainServiceFaults = {
    refuseProbability: 0,
    lostAnswerProbability: 0,
    loseNextAnswers: 0,
    delayMs: 0,
  };

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
    private readonly latencyMs: number,
  ) {}

  /** Switches faults; those left out stay as they are. */
  setFaults(faults: Partial<PlainServiceFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  /** Runs a call, unless it is refused, and answers after the latency. */
  call(call: PlainCall, answer: (end: PlainCallEnd) => void): void {
    const end = this.perform(call);
    this.scheduler.schedule(this.latencyMs + this.faults.delayMs, () => {
      answer(end);
    });
  }

  /** Every call that ran, with its number of runs. */
  history(): readonly PlainRunCount[] {
    return [...this.runs.values()];
  }

  private perform(call: PlainCall): PlainCallEnd {
    if (this.occurs(this.faults.refuseProbability)) {
      return {kind: 'refused'};
    }
    const key = JSON.stringify([call.operation, call.member, call.body]);
    const run = (this.runs.get(key)?.runs ?? 0) + 1;
    this.runs.set(key, {...call, runs: run, lastRunMs: this.scheduler.nowMs()});
    return this.losesAnswer()
      ? {kind: 'answer-lost'}
      : {kind: 'answered', call, run};
  }

  private losesAnswer(): boolean {
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers -= 1;
      return true;
    }
    return this.occurs(this.faults.lostAnswerProbability);
  }

  private occurs(probability: number): boolean {
    return probability > 0 && this.random() < probability;
  }
}
