import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {PrefillPace, PrefillQueue} from '../../index.js';

/** An engine that prefills one chunk of prompts in each step. */
export interface EngineSpeed {
  readonly stepMs: number;
  readonly tokensPerMs: number;
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
}

export interface PromptLoad {
  readonly requestsPerS: number;
  /** Mean number of requests that arrive at the same moment. */
  readonly clump: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly gapTargetMs: number;
  readonly firstEventTargetMs: number;
  readonly durationMs: number;
}

interface Stream {
  readonly id: string;
  readonly arrivedAt: number;
  sentAt: number;
  unreadTokens: number;
  tokensLeft: number;
  firstEventMs: number | undefined;
  lastEventAt: number;
  longestGapMs: number;
}

export interface SimulatedStreams {
  readonly streams: number;
  readonly lateByGap: number;
  readonly lateFirstEvent: number;
  readonly limitMs: number | undefined;
}

/** Delay of reports and releases between hosts, milliseconds. */
const REPORT_DELAY_MS = 5;

/**
 * Plays clumped prompts on one engine whose issuer does or doesn't limit the
 * pending prompts. Two hosts report gaps.
 */
export const simulateEngine = (
  engine: EngineSpeed,
  load: PromptLoad,
  limited: boolean,
  seed: number,
): SimulatedStreams => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const pace = new PrefillPace();
  const queue = new PrefillQueue(pace);
  const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});
  const all = new Map<string, Stream>();
  const batch: Stream[] = [];
  const reports: {dueAt: number; apply: (now: number) => void}[] = [];
  let now = 0;
  let nextClumpAt = 0;
  let serial = 0;

  const arrive = (until: number) => {
    while (nextClumpAt <= until && nextClumpAt < load.durationMs) {
      const arrivedAt = nextClumpAt;
      const count = 1 + Math.floor(random() * (2 * load.clump - 1));
      for (let index = 0; index < count; index += 1) {
        const id = String((serial += 1));
        const tokens = Math.ceil(
          load.promptTokens * Math.min(3, -Math.log(1 - random())),
        );
        all.set(id, {
          id,
          arrivedAt,
          sentAt: arrivedAt,
          unreadTokens: tokens,
          tokensLeft: engine.tokensPerEvent * load.events,
          firstEventMs: undefined,
          lastEventAt: 0,
          longestGapMs: 0,
        });
        const onTimeWithinMs = load.firstEventTargetMs;
        queue.add({id, tokens, priority: 0, onTimeWithinMs}, at(arrivedAt));
      }
      nextClumpAt +=
        (-Math.log(1 - random()) * load.clump * 1_000) / load.requestsPerS;
    }
  };
  const send = () => {
    for (const id of queue.release(at(now))) {
      const stream = all.get(id);
      if (stream !== undefined) {
        stream.sentAt = now;
        batch.push(stream);
      }
    }
  };
  const step = () => {
    let budget = engine.chunkTokens;
    const running = batch.filter(({unreadTokens}) => unreadTokens === 0);
    for (const stream of batch) {
      const tokens = Math.min(budget, stream.unreadTokens);
      stream.unreadTokens -= tokens;
      budget -= tokens;
    }
    now += engine.stepMs + (engine.chunkTokens - budget) / engine.tokensPerMs;
    for (const stream of running) {
      stream.tokensLeft -= 1;
      if (stream.tokensLeft % engine.tokensPerEvent === 0) {
        recordEvent(stream);
      }
    }
    for (let index = batch.length - 1; index >= 0; index -= 1) {
      if (batch[index]?.tokensLeft === 0) {
        batch.splice(index, 1);
      }
    }
  };
  const recordEvent = (stream: Stream) => {
    const {id, sentAt} = stream;
    if (stream.firstEventMs === undefined) {
      stream.firstEventMs = now - stream.arrivedAt;
      const prefillMs = now - sentAt;
      const apply = (appliedAt: number) => {
        queue.recordPrefilled(id, prefillMs, at(appliedAt));
      };
      reports.push({dueAt: now + REPORT_DELAY_MS, apply});
    } else {
      const gapMs = now - stream.lastEventAt;
      stream.longestGapMs = Math.max(stream.longestGapMs, gapMs);
      const host = `host-${Number(id) % 2}`;
      const apply = (appliedAt: number) => {
        const instant = at(appliedAt);
        const busyMs = queue.recentBusyMs(instant);
        const gap = {gapMs, targetMs: load.gapTargetMs};
        pace.recordGap(gap, {server: 'server', host, busyMs}, instant);
      };
      if (limited) {
        reports.push({dueAt: now + REPORT_DELAY_MS, apply});
      }
    }
    stream.lastEventAt = now;
  };

  while (now < load.durationMs || batch.length > 0) {
    arrive(now);
    for (const {apply} of reports.filter(({dueAt}) => dueAt <= now)) {
      apply(now);
    }
    const later = reports.filter(({dueAt}) => dueAt > now);
    reports.splice(0, reports.length, ...later);
    send();
    if (batch.length > 0) {
      step();
    } else {
      now += 1;
    }
  }
  const ended = [...all.values()];
  return {
    streams: ended.length,
    lateByGap: ended.filter(({longestGapMs}) => longestGapMs > load.gapTargetMs)
      .length,
    lateFirstEvent: ended.filter(
      ({firstEventMs}) => (firstEventMs ?? Infinity) > load.firstEventTargetMs,
    ).length,
    limitMs: pace.limitMs,
  };
};
