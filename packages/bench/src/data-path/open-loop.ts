import {setTimeout as sleep} from 'node:timers/promises';

import {
  build,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

const TICK_MS = 1;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Highest latency that can be recorded. */
const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;

/** Requests of a fixed kind, sent at a fixed rate whatever comes back. */
export interface OpenLoopOptions {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** An answer after this time counts as failed. */
  readonly timeoutMs: number;
}

/** What came back. Latencies count from the time at which a send was due. */
export interface OpenLoopResult {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Longest delay of a send behind its due time. */
  readonly longestSendDelayMs: number;
  /** Of answered requests, in microseconds; encoded as Base64. */
  readonly latencies: string;
}

/** Runs one open loop and waits for the last answer. */
export const runOpenLoop = async (
  options: OpenLoopOptions,
): Promise<OpenLoopResult> => {
  const run = new OpenLoopRun(options);
  await run.run();
  return run.result();
};

class OpenLoopRun {
  private readonly histogram: Histogram = build({
    highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
  });
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections: null,
    pipelining: 1,
  });
  private sent = 0;
  private answered = 0;
  private refused = 0;
  private failed = 0;
  private longestSendDelayMs = 0;

  constructor(private readonly options: OpenLoopOptions) {}

  async run(): Promise<void> {
    const {requestsPerSecond, seconds} = this.options;
    const total = Math.round(requestsPerSecond * seconds);
    const gapMs = MS_PER_SECOND / requestsPerSecond;
    const startMs = performance.now();
    const open: Promise<void>[] = [];
    while (this.sent < total) {
      const nowMs = performance.now();
      for (
        let dueMs = startMs + this.sent * gapMs;
        dueMs <= nowMs && this.sent < total;
        dueMs = startMs + this.sent * gapMs
      ) {
        this.sent += 1;
        this.longestSendDelayMs = Math.max(
          this.longestSendDelayMs,
          nowMs - dueMs,
        );
        open.push(this.send(dueMs));
      }
      await sleep(TICK_MS);
    }
    await Promise.all(open);
    await this.agent.close();
  }

  result(): OpenLoopResult {
    const {sent, answered, refused, failed, longestSendDelayMs} = this;
    const latencies = encodeIntoCompressedBase64(this.histogram);
    return {sent, answered, refused, failed, longestSendDelayMs, latencies};
  }

  private async send(dueMs: number): Promise<void> {
    const {url, headers, body, timeoutMs} = this.options;
    try {
      const response = await request(url, {
        method: 'POST',
        headers,
        body,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      await response.body.arrayBuffer();
      if (response.statusCode !== 200) {
        this.refused += 1;
        return;
      }
      this.answered += 1;
      const elapsedMs = performance.now() - dueMs;
      this.histogram.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
    } catch {
      this.failed += 1;
    }
  }
}
