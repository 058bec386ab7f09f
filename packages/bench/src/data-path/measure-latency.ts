import {BenchHost} from './bench-host.js';
import {generateLoad, percentileMs} from './load-generator.js';

const REQUESTS_PER_SECOND = 200;
const TIMEOUT_MS = 5_000;

/** Latency of a call through one host against a direct call. */
export interface AddedLatency {
  readonly directP50Ms: number;
  readonly directP99Ms: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
}

/** Measures both at the same rate, one after the other. */
export const measureAddedLatency = async (
  seconds: number,
): Promise<AddedLatency> => {
  const host = await BenchHost.start({
    promptMs: 0,
    cachedPromptMs: 0,
    tokenMs: 1,
    fullBatchTokenMs: 1,
  });
  try {
    const measure = async (address: string, duration: number) => {
      const {latencies} = await generateLoad(
        {
          url: `http://${address}/v1/chat/completions`,
          headers: host.headers,
          body: host.body({stream: false, tokens: 1}),
          requestsPerSecond: REQUESTS_PER_SECOND,
          seconds: duration,
          timeoutMs: TIMEOUT_MS,
        },
        1,
      );
      return latencies;
    };
    for (const address of [host.engineAddress, host.hostAddress]) {
      await measure(address, seconds / 2);
    }
    const direct = await measure(host.engineAddress, seconds);
    const through = await measure(host.hostAddress, seconds);
    const directP50Ms = percentileMs(direct, 50);
    const directP99Ms = percentileMs(direct, 99);
    return {
      directP50Ms,
      directP99Ms,
      addedP50Ms: percentileMs(through, 50) - directP50Ms,
      addedP99Ms: percentileMs(through, 99) - directP99Ms,
    };
  } finally {
    await host.end();
  }
};
