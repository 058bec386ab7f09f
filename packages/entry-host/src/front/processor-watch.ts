import {performance} from 'node:perf_hooks';

import {
  LOOP_SAMPLE_PERIOD_MS,
  ProcessorPressure,
  REFUSING_SAMPLE_PERIOD_MS,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Time of a loop since its start, milliseconds. */
export interface LoopTimes {
  readonly idle: number;
  readonly active: number;
}

/** Watches whether this process has enough of its processor. */
export class ProcessorWatch {
  readonly pressure: ProcessorPressure;
  private last: LoopTimes;

  constructor(
    private readonly context: EntryHostContext,
    private readonly loopTimes: () => LoopTimes = () =>
      performance.eventLoopUtilization(),
  ) {
    const {monotonicMs} = context.clock.now();
    this.pressure = new ProcessorPressure(monotonicMs);
    this.last = loopTimes();
    this.sampleLater();
  }

  private sampleLater(): void {
    const {timers, signal} = this.context;
    const {waitMs} = this.pressure;
    const periodMs =
      waitMs > 0 ? REFUSING_SAMPLE_PERIOD_MS : LOOP_SAMPLE_PERIOD_MS;
    const sample = () => {
      this.sample();
      this.sampleLater();
    };
    timers.after('processor-watch', periodMs, sample, {signal});
  }

  private sample(): void {
    const {clock, logger, metrics} = this.context;
    const times = this.loopTimes();
    const idleMs = times.idle - this.last.idle;
    const elapsedMs = idleMs + times.active - this.last.active;
    this.last = times;
    if (elapsedMs <= 0) {
      return;
    }
    const {pressure} = this;
    const wasBusy = pressure.waitMs > 0;
    pressure.observe({elapsedMs, idleMs}, clock.now().monotonicMs);
    const {waitMs} = pressure;
    metrics.processorWaitSeconds.set(waitMs / 1_000);
    if (waitMs > 0 !== wasBusy) {
      logger.info('processor', {short: !wasBusy, waitMs: Math.round(waitMs)});
    }
  }
}
