import {BenchHost} from './bench-host.js';
import {generateLoad, type LoadResult} from './load-generator.js';

const WORKERS = 2;
const ON_TIME_MS = 1_000;
const FIRST_RATE = 500;
const RATE_STEP = 1.25;
const HIGHEST_RATE = 20_000;

/** Steps without a higher goodput after which the peak is taken as found. */
const STEPS_BEYOND_PEAK = 2;

/** Goodput of one host: answers within a second, per second. */
export interface Saturation {
  readonly peakRequestsPerSecond: number;
  readonly overloadRequestsPerSecond: number;
  /** Goodput at twice the peak's rate over the peak. */
  readonly overloadShareOfPeak: number;
  /** Shares of the requests at twice the peak's rate. */
  readonly overloadRefusedShare: number;
  readonly overloadUnansweredShare: number;
}

/** Raises the rate until goodput stops growing, then offers twice the peak. */
export const measureSaturation = async (
  seconds: number,
): Promise<Saturation> => {
  const host = await BenchHost.start({
    promptMs: 0,
    cachedPromptMs: 0,
    tokenMs: 1,
    fullBatchTokenMs: 1,
    batchPositions: 256,
    queueLimit: 256,
  });
  const offer = (requestsPerSecond: number): Promise<LoadResult> =>
    generateLoad(
      {
        url: `http://${host.hostAddress}/v1/chat/completions`,
        headers: {...host.headers, 'x-deadline-ms': `${ON_TIME_MS}`},
        body: host.body({stream: false, tokens: 1}),
        requestsPerSecond,
        seconds,
        timeoutMs: ON_TIME_MS,
      },
      WORKERS,
    );
  const goodputAt = async (requestsPerSecond: number): Promise<number> =>
    onTimePerSecond(await offer(requestsPerSecond), seconds);
  try {
    const peak = await findPeak(goodputAt);
    const result = await offer(2 * peak);
    const overload = onTimePerSecond(result, seconds);
    return {
      peakRequestsPerSecond: peak,
      overloadRequestsPerSecond: overload,
      overloadShareOfPeak: overload / peak,
      overloadRefusedShare: result.refused / result.sent,
      overloadUnansweredShare: result.failed / result.sent,
    };
  } finally {
    await host.end();
  }
};

/** Raises the rate until goodput has stopped growing. */
const findPeak = async (
  goodputAt: (requestsPerSecond: number) => Promise<number>,
): Promise<number> => {
  let peak = 0;
  let stepsBeyond = 0;
  for (
    let rate = FIRST_RATE;
    rate <= HIGHEST_RATE && stepsBeyond < STEPS_BEYOND_PEAK;
    rate *= RATE_STEP
  ) {
    const goodput = await goodputAt(rate);
    stepsBeyond = goodput > peak ? 0 : stepsBeyond + 1;
    peak = Math.max(peak, goodput);
  }
  return peak;
};

const onTimePerSecond = (result: LoadResult, seconds: number): number =>
  result.answered / seconds;
