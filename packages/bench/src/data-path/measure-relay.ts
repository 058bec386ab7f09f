import {setTimeout as sleep} from 'node:timers/promises';

import {Agent, request} from 'undici';

import {BenchHost} from './bench-host.js';
import {readProcessUsage} from './process-usage.js';

const STREAMS = 400;
const TOKEN_INTERVAL_MS = 40;
const TOKENS_PER_SECOND = 25;
const RAMP_SECONDS = 3;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

/** What one host carries, and at which cost. */
export interface RelayUse {
  readonly streams: number;
  readonly tokensPerSecond: number;
  /** Share of one core that the daemon used. */
  readonly processorShare: number;
  readonly residentMegabytes: number;
}

/** Relays 400 streams of 25 tokens a second each. */
export const measureRelay = async (seconds: number): Promise<RelayUse> => {
  const host = await BenchHost.start({
    batchPositions: STREAMS + 1,
    tokenMs: TOKEN_INTERVAL_MS,
    fullBatchTokenMs: TOKEN_INTERVAL_MS,
  });
  const counter = new TokenCounter();
  const agent = new Agent({connections: null, headersTimeout: 0});
  try {
    const streams = Array.from({length: STREAMS}, () =>
      counter.follow(host, agent, seconds + 2 * RAMP_SECONDS),
    );
    await sleep(RAMP_SECONDS * MS_PER_SECOND);
    const before = await readProcessUsage(host.pid);
    const tokensBefore = counter.tokens;
    const startMs = performance.now();
    await sleep(seconds * MS_PER_SECOND);
    const after = await readProcessUsage(host.pid);
    const elapsed = (performance.now() - startMs) / MS_PER_SECOND;
    const tokens = counter.tokens - tokensBefore;
    await Promise.all(streams);
    return {
      streams: STREAMS,
      tokensPerSecond: tokens / elapsed,
      processorShare:
        (after.processorSeconds - before.processorSeconds) / elapsed,
      residentMegabytes: after.residentBytes / BYTES_PER_MEGABYTE,
    };
  } finally {
    await agent.destroy();
    await host.end();
  }
};

const EVENT_END = Buffer.from('\n\n');

/** Counts the events of many streams. */
class TokenCounter {
  tokens = 0;

  async follow(host: BenchHost, agent: Agent, seconds: number): Promise<void> {
    const {statusCode, body} = await request(
      `http://${host.hostAddress}/v1/chat/completions`,
      {
        method: 'POST',
        headers: host.headers,
        body: host.body({stream: true, tokens: seconds * TOKENS_PER_SECOND}),
        dispatcher: agent,
      },
    );
    for await (const chunk of body) {
      if (statusCode === 200) {
        this.tokens += countEvents(chunk as Buffer);
      }
    }
  }
}

const countEvents = (chunk: Buffer): number => {
  let events = 0;
  for (
    let index = chunk.indexOf(EVENT_END);
    index >= 0;
    index = chunk.indexOf(EVENT_END, index + EVENT_END.length)
  ) {
    events += 1;
  }
  return events;
};
