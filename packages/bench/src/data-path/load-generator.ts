import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';

import type {OpenLoopOptions, OpenLoopResult} from './open-loop.js';

const MICROSECONDS_PER_MS = 1_000;

/** Sum of the results of several open loops. */
export interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  readonly longestSendDelayMs: number;
  /** In microseconds. */
  readonly latencies: Histogram;
}

/** Splits a load over worker threads, each with its own connections. */
export const generateLoad = async (
  options: OpenLoopOptions,
  workers: number,
): Promise<LoadResult> => {
  const share = {
    ...options,
    requestsPerSecond: options.requestsPerSecond / workers,
  };
  const results = await Promise.all(
    Array.from({length: workers}, () => runWorker(share)),
  );
  const [first, ...others] = results.map(({latencies}) =>
    decodeFromCompressedBase64(latencies),
  );
  if (first === undefined) {
    throw new RangeError('expected at least one worker');
  }
  for (const other of others) {
    first.add(other);
  }
  const total = (of: (result: OpenLoopResult) => number): number =>
    results.reduce((sum, result) => sum + of(result), 0);
  return {
    sent: total(({sent}) => sent),
    answered: total(({answered}) => answered),
    refused: total(({refused}) => refused),
    failed: total(({failed}) => failed),
    longestSendDelayMs: Math.max(
      ...results.map(({longestSendDelayMs}) => longestSendDelayMs),
    ),
    latencies: first,
  };
};

/** A percentile of a histogram of microseconds, in milliseconds. */
export const percentileMs = (histogram: Histogram, percent: number): number =>
  histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;

const runWorker = async (options: OpenLoopOptions): Promise<OpenLoopResult> => {
  const worker = new Worker(new URL('open-loop-worker.js', import.meta.url), {
    workerData: options,
  });
  const [result] = (await once(worker, 'message')) as [OpenLoopResult];
  return result;
};
