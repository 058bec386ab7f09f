import type {Instant} from '@basilworks/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  type Admission,
  type ChoiceContext,
  type RecordedEntry,
  retryAfterMs,
  type Server,
  ServerTable,
} from '../../index.js';

/**
 * Load of a plain service: many hosts send to a few servers, each by its own
 * observations.
 */
export interface PlainServiceScenario {
  readonly seed: number;
  readonly hosts: number;
  readonly requestsPerSecond: number;
  readonly meanServiceMs: number;
  /** Long-term slowdown of each server: factor of its service times. */
  readonly slowdowns: readonly number[];
  readonly slots: number;
  /** Share of the time for which a server is slower, and the factor. */
  readonly noise: {readonly share: number; readonly factor: number};
  /** What the slowness that servers report includes. */
  readonly reportedSlowness: 'nothing' | 'noise' | 'noise and slowdown';
  readonly choose: (
    servers: readonly Server[],
    context: ChoiceContext,
  ) => Server | undefined;
  /** Factor of the request rate in a third of the time; 1 by default. */
  readonly burstFactor?: number;
  /** Decides on admission; without it, all requests are admitted. */
  readonly admits?: (
    servers: readonly Server[],
    remainingMs: number,
    at: Instant,
  ) => Admission;
}

export interface PlainServiceResult {
  /** Largest ratio of a server's share of requests to that of capacity. */
  readonly maxLoadRatio: number;
  /** 95th percentile of the wait for a slot, milliseconds. */
  readonly waitP95Ms: number;
  /** Share of the answers that arrived within the target. */
  readonly answersWithinTarget: number;
  /** Share of all requests that were answered within target or deadline. */
  readonly requestsWithinTarget: number;
  readonly requestsWithinDeadline: number;
  /** Share of requests refused although some server could have answered. */
  readonly refusedNeedlessly: number;
  /** Share of requests whose deadline passed in a server's queue. */
  readonly expired: number;
}

interface Arrival {
  readonly host: number;
  readonly atMs: number;
  /** When the caller sent the request for the first time. */
  readonly firstSentMs: number;
}

const DURATION_MS = 60_000;
const WARM_UP_MS = 10_000;
const NETWORK_DELAY_MS = 1.5;
const TARGET_MS = 195;
const DEADLINE_MS = 1_550;
const BURST_PERIOD_MS = 12_000;
/** Mean length of a period in which a server is slower, milliseconds. */
const MEAN_SLOW_PERIOD_MS = 400;

export const SEEDS = [1, 2, 3, 4, 5];

export const at = (ms: number): Instant => ({monotonicMs: ms, wallMs: ms});

/** Returns the entries of a plain service, in three zones. */
export const plainEntries = (
  servers: number,
  slots: number,
): readonly RecordedEntry[] =>
  Array.from({length: servers}, (_unused, index) => ({
    revision: 1,
    entry: {
      id: `s${index}`,
      service: 's',
      host: '127.0.0.1',
      port: 1,
      zone: `z${index % 3}`,
      slots,
      leaving: false,
      startedAtWallMs: 1,
      softwareVersion: 'v1',
      models: [],
    },
  }));

/** Simulates the scenario on virtual time. */
export const simulatePlainService = (
  scenario: PlainServiceScenario,
): PlainServiceResult => {
  // Separate generators, so that simulations that decide differently get the
  // same load.
  const [random, nextNoise, nextArrival] = [0, 1, 2].map((part) => {
    const generator = xoroshiro128plus(scenario.seed * 3 + part);
    return () => uniformFloat64(generator);
  }) as [() => number, () => number, () => number];
  const exponential = (meanMs: number, draw: () => number) =>
    -Math.log(1 - draw()) * meanMs;
  const events: {ms: number; run: () => void}[] = [];
  const schedule = (ms: number, run: () => void) => {
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((events[middle]?.ms ?? 0) > ms) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    events.splice(low, 0, {ms, run});
  };
  const entries = plainEntries(scenario.slowdowns.length, scenario.slots);
  const tables = Array.from({length: scenario.hosts}, () => {
    const table = new ServerTable();
    table.update(entries, undefined, at(0));
    return table;
  });
  const machines = scenario.slowdowns.map((slowdown) => ({
    slowdown,
    noiseFactor: 1,
    running: 0,
    queue: [] as (() => void)[],
    served: 0,
  }));
  const {share, factor} = scenario.noise;
  for (const machine of machines) {
    const toggleNoise = (ms: number) => {
      machine.noiseFactor = machine.noiseFactor === 1 ? factor : 1;
      const quietMs = (MEAN_SLOW_PERIOD_MS * (1 - share)) / share;
      const nextMs =
        ms +
        exponential(
          machine.noiseFactor === 1 ? quietMs : MEAN_SLOW_PERIOD_MS,
          nextNoise,
        );
      schedule(nextMs, () => {
        toggleNoise(nextMs);
      });
    };
    if (share > 0) {
      toggleNoise(0);
    }
  }
  const waitsMs: number[] = [];
  const responseTimesMs: number[] = [];
  let requestCount = 0;
  let needlessRefusals = 0;
  let expired = 0;
  const isCounted = (ms: number) => ms > WARM_UP_MS;
  const refuses = ({host, atMs, firstSentMs}: Arrival): boolean => {
    const remainingMs = DEADLINE_MS - (atMs - firstSentMs);
    const servers = tables[host]?.all() ?? [];
    const admission = scenario.admits?.(servers, remainingMs, at(atMs));
    if (admission?.admitted !== false) {
      return false;
    }
    const shortestMs = Math.min(
      ...machines.map(
        ({queue, slowdown, noiseFactor}) =>
          scenario.meanServiceMs *
          slowdown *
          noiseFactor *
          (1 + queue.length / scenario.slots),
      ),
    );
    needlessRefusals +=
      isCounted(firstSentMs) && shortestMs < remainingMs / 2 ? 1 : 0;
    const waitMs = retryAfterMs(admission.retryAfterMs, remainingMs, random);
    if (firstSentMs === atMs) {
      const again = {host, atMs: atMs + waitMs, firstSentMs};
      schedule(again.atMs, () => {
        send(again);
      });
    }
    return true;
  };
  const send = ({host, atMs, firstSentMs}: Arrival) => {
    if (refuses({host, atMs, firstSentMs})) {
      return;
    }
    const table = tables[host];
    const server = scenario.choose(table?.all() ?? [], {
      at: at(atMs),
      zone: `z${host % 3}`,
      tried: new Set(),
      silenceLimitMs: 800,
      random,
    });
    const machine = machines[Number(server?.entry.id.slice(1))];
    if (server === undefined || machine === undefined) {
      return;
    }
    const {health} = server;
    health.recordSent(at(atMs));
    const counted = isCounted(firstSentMs);
    machine.served += counted ? 1 : 0;
    const start = (ms: number) => {
      if (ms > firstSentMs + DEADLINE_MS) {
        expired += counted ? 1 : 0;
        health.recordEnd('refused', true, at(ms));
        machine.queue.shift()?.();
        return;
      }
      machine.running += 1;
      if (counted) {
        waitsMs.push(ms - atMs - NETWORK_DELAY_MS);
      }
      const serviceMs = scenario.meanServiceMs * (0.5 + random());
      const endMs = ms + serviceMs * machine.slowdown * machine.noiseFactor;
      schedule(endMs, () => {
        machine.running -= 1;
        const report = {
          running: machine.running,
          waiting: machine.queue.length,
          slowness:
            machine.noiseFactor *
            (scenario.reportedSlowness === 'noise' ? 1 : machine.slowdown),
        };
        machine.queue.shift()?.();
        schedule(endMs + NETWORK_DELAY_MS, () => {
          const now = at(endMs + NETWORK_DELAY_MS);
          const waitedMs = now.monotonicMs - atMs;
          const work = {promptTokens: 0, slots: scenario.slots};
          const load =
            scenario.reportedSlowness === 'nothing'
              ? {...report, slowness: undefined}
              : report;
          health.recordResponse(waitedMs, load, now, work);
          health.recordEnd('served', false, now);
          if (counted) {
            responseTimesMs.push(now.monotonicMs - firstSentMs);
          }
        });
      });
    };
    const arrivesMs = atMs + NETWORK_DELAY_MS;
    schedule(arrivesMs, () => {
      if (machine.running < scenario.slots) {
        start(arrivesMs);
      } else {
        machine.queue.push(() => {
          start(now);
        });
      }
    });
  };
  let now = 0;
  const arrive = (atMs: number) => {
    requestCount += isCounted(atMs) ? 1 : 0;
    send({
      host: Math.floor(nextArrival() * scenario.hosts),
      atMs,
      firstSentMs: atMs,
    });
    const inBurst = atMs % BURST_PERIOD_MS < BURST_PERIOD_MS / 3;
    const requestsPerSecond =
      scenario.requestsPerSecond * (inBurst ? (scenario.burstFactor ?? 1) : 1);
    const nextMs = atMs + exponential(1_000 / requestsPerSecond, nextArrival);
    if (nextMs < DURATION_MS) {
      schedule(nextMs, () => {
        arrive(nextMs);
      });
    }
  };
  arrive(0);
  // The events that toggle noise never end.
  while (now < DURATION_MS + 5_000) {
    const event = events.pop();
    if (event === undefined) {
      break;
    }
    now = event.ms;
    event.run();
  }
  const total = machines.reduce((sum, {served}) => sum + served, 0);
  const capacity = machines.reduce((sum, {slowdown}) => sum + 1 / slowdown, 0);
  const loadRatios = machines.map(
    ({served, slowdown}) => (served / total) * capacity * slowdown,
  );
  return {
    maxLoadRatio: Math.max(...loadRatios),
    waitP95Ms: percentile(waitsMs, 0.95),
    answersWithinTarget:
      responseTimesMs.filter((ms) => ms < TARGET_MS).length /
      responseTimesMs.length,
    requestsWithinTarget:
      responseTimesMs.filter((ms) => ms < TARGET_MS).length / requestCount,
    requestsWithinDeadline:
      responseTimesMs.filter((ms) => ms < DEADLINE_MS).length / requestCount,
    refusedNeedlessly: needlessRefusals / requestCount,
    expired: expired / requestCount,
  };
};

/** Returns `count` servers of a plain service, with 6 slots each. */
export const plainService = (count: number): readonly Server[] => {
  const table = new ServerTable();
  table.update(plainEntries(count, 6), undefined, at(0));
  return table.all();
};

/** Records that a server answered a request, and its reported slowness. */
export const recordAnswer = (
  {health, entry}: Server,
  waitedMs: number,
  slowness: number,
  ms: number,
  promptTokens = 0,
): void => {
  const load = {running: 1, waiting: 0, slowness};
  health.recordSent(at(ms - waitedMs));
  const {slots} = entry;
  health.recordResponse(waitedMs, load, at(ms), {promptTokens, slots});
  health.recordEnd('served', false, at(ms));
};

const percentile = (values: readonly number[], share: number): number =>
  [...values].sort((first, second) => first - second)[
    Math.floor(values.length * share)
  ] ?? 0;
