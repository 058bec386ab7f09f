import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Instant} from '@basilworks/core';
import {
  type Admission,
  type ChoiceContext,
  type RecordedEntry,
  retryAfterMs,
  type Server,
  ServerTable,
} from '../../index.js';

/** A few plain servers that many hosts send to, each by its own evidence. */
export interface PlainLoad {
  readonly seed: number;
  readonly hosts: number;
  readonly requestsPerS: number;
  readonly workMs: number;
  /** How slow each server is for good. */
  readonly speeds: readonly number[];
  readonly slots: number;
  /** Share of the time in which a server is slower, and by how much. */
  readonly noise: {readonly share: number; readonly factor: number};
  /** What the slowness that servers tell contains. */
  readonly tells: 'nothing' | 'noise' | 'noise and lasting';
  readonly choose: (
    servers: readonly Server[],
    context: ChoiceContext,
  ) => Server | undefined;
  /** How much more comes in a third of the time; none where it is missing. */
  readonly burst?: number;
  /** Whether a request is taken, with the time that its caller has. */
  readonly admits?: (
    servers: readonly Server[],
    remainingMs: number,
    at: Instant,
  ) => Admission;
}

export interface PlainResult {
  /** Most requests of a server against its share by what it can do. */
  readonly busiest: number;
  /** 95th percentile of waiting for a place, milliseconds. */
  readonly waitingMs: number;
  /** Share of the answers that came within the target. */
  readonly onTime: number;
  /** Share of all requests that were answered within target, and deadline. */
  readonly allOnTime: number;
  readonly allInTime: number;
  /** Share that was refused though some server could have answered. */
  readonly refusedInVain: number;
  /** Share that waited at a server until it was of no use. */
  readonly expired: number;
}

interface Arrival {
  readonly host: number;
  readonly atMs: number;
  /** When the caller asked first. */
  readonly bornMs: number;
}

const PERIOD_MS = 60_000;
const WARM_UP_MS = 10_000;
const WAY_MS = 1.5;
const TARGET_MS = 195;
const DEADLINE_MS = 1_550;
const BURST_PERIOD_MS = 12_000;
/** Mean time for which a server is slower at a time, milliseconds. */
const NOISE_MS = 400;

export const SEEDS = [1, 2, 3, 4, 5];

export const at = (ms: number): Instant => ({monotonicMs: ms, wallMs: ms});

/** Entries of a plain service, in three zones. */
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
      models: [],
    },
  }));

/** Plays the load on virtual time. */
export const simulatePlainService = (load: PlainLoad): PlainResult => {
  // Draws of their own, so that plays that decide otherwise meet the same load.
  const [random, nextNoise, nextArrival] = [0, 1, 2].map((part) => {
    const generator = xoroshiro128plus(load.seed * 3 + part);
    return () => uniformFloat64(generator);
  }) as [() => number, () => number, () => number];
  const exponential = (meanMs: number, draw: () => number) =>
    -Math.log(1 - draw()) * meanMs;
  const events: {ms: number; run: () => void}[] = [];
  const after = (ms: number, run: () => void) => {
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
  const entries = plainEntries(load.speeds.length, load.slots);
  const tables = Array.from({length: load.hosts}, () => {
    const table = new ServerTable();
    table.update(entries, undefined, at(0));
    return table;
  });
  const machines = load.speeds.map((speed) => ({
    speed,
    noisy: 1,
    running: 0,
    queue: [] as (() => void)[],
    served: 0,
  }));
  const {share, factor} = load.noise;
  for (const machine of machines) {
    const turn = (ms: number) => {
      machine.noisy = machine.noisy === 1 ? factor : 1;
      const quietMs = (NOISE_MS * (1 - share)) / share;
      const nextMs =
        ms + exponential(machine.noisy === 1 ? quietMs : NOISE_MS, nextNoise);
      after(nextMs, () => {
        turn(nextMs);
      });
    };
    if (share > 0) {
      turn(0);
    }
  }
  const waits: number[] = [];
  const times: number[] = [];
  let born = 0;
  let inVain = 0;
  let expired = 0;
  const isCounted = (ms: number) => ms > WARM_UP_MS;
  const refuses = ({host, atMs, bornMs}: Arrival): boolean => {
    const remainingMs = DEADLINE_MS - (atMs - bornMs);
    const servers = tables[host]?.all() ?? [];
    const admission = load.admits?.(servers, remainingMs, at(atMs));
    if (admission?.admitted !== false) {
      return false;
    }
    const leastMs = Math.min(
      ...machines.map(
        ({queue, speed, noisy}) =>
          load.workMs * speed * noisy * (1 + queue.length / load.slots),
      ),
    );
    inVain += isCounted(bornMs) && leastMs < remainingMs / 2 ? 1 : 0;
    const waitMs = retryAfterMs(admission.retryAfterMs, remainingMs, random);
    if (bornMs === atMs) {
      const again = {host, atMs: atMs + waitMs, bornMs};
      after(again.atMs, () => {
        send(again);
      });
    }
    return true;
  };
  const send = ({host, atMs, bornMs}: Arrival) => {
    if (refuses({host, atMs, bornMs})) {
      return;
    }
    const table = tables[host];
    const server = load.choose(table?.all() ?? [], {
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
    const counts = isCounted(bornMs);
    machine.served += counts ? 1 : 0;
    const begin = (ms: number) => {
      if (ms > bornMs + DEADLINE_MS) {
        expired += counts ? 1 : 0;
        health.recordEnd('refused', true, at(ms));
        machine.queue.shift()?.();
        return;
      }
      machine.running += 1;
      if (counts) {
        waits.push(ms - atMs - WAY_MS);
      }
      const workMs = load.workMs * (0.5 + random());
      const endMs = ms + workMs * machine.speed * machine.noisy;
      after(endMs, () => {
        machine.running -= 1;
        const report = {
          running: machine.running,
          waiting: machine.queue.length,
          slowness:
            machine.noisy * (load.tells === 'noise' ? 1 : machine.speed),
        };
        machine.queue.shift()?.();
        after(endMs + WAY_MS, () => {
          const now = at(endMs + WAY_MS);
          const waitedMs = now.monotonicMs - atMs;
          const work = {promptTokens: 0, slots: load.slots};
          const told =
            load.tells === 'nothing'
              ? {...report, slowness: undefined}
              : report;
          health.recordResponse(waitedMs, told, now, work);
          health.recordEnd('served', false, now);
          if (counts) {
            times.push(now.monotonicMs - bornMs);
          }
        });
      });
    };
    const arrivesMs = atMs + WAY_MS;
    after(arrivesMs, () => {
      if (machine.running < load.slots) {
        begin(arrivesMs);
      } else {
        machine.queue.push(() => {
          begin(now);
        });
      }
    });
  };
  let now = 0;
  const arrive = (atMs: number) => {
    born += isCounted(atMs) ? 1 : 0;
    send({host: Math.floor(nextArrival() * load.hosts), atMs, bornMs: atMs});
    const bursts = atMs % BURST_PERIOD_MS < BURST_PERIOD_MS / 3;
    const perS = load.requestsPerS * (bursts ? (load.burst ?? 1) : 1);
    const nextMs = atMs + exponential(1_000 / perS, nextArrival);
    if (nextMs < PERIOD_MS) {
      after(nextMs, () => {
        arrive(nextMs);
      });
    }
  };
  arrive(0);
  // Noise never ends by itself.
  while (now < PERIOD_MS + 5_000) {
    const event = events.pop();
    if (event === undefined) {
      break;
    }
    now = event.ms;
    event.run();
  }
  const total = machines.reduce((sum, {served}) => sum + served, 0);
  const capacity = machines.reduce((sum, {speed}) => sum + 1 / speed, 0);
  const shares = machines.map(
    ({served, speed}) => (served / total) * capacity * speed,
  );
  return {
    busiest: Math.max(...shares),
    waitingMs: percentile(waits, 0.95),
    onTime: times.filter((ms) => ms < TARGET_MS).length / times.length,
    allOnTime: times.filter((ms) => ms < TARGET_MS).length / born,
    allInTime: times.filter((ms) => ms < DEADLINE_MS).length / born,
    refusedInVain: inVain / born,
    expired: expired / born,
  };
};

/** A service of some servers with 6 places each. */
export const plainService = (count: number): readonly Server[] => {
  const table = new ServerTable();
  table.update(plainEntries(count, 6), undefined, at(0));
  return table.all();
};

/** A server answers a request with so many tokens in its prompt. */
export const answer = (
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
