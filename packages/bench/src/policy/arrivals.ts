import {adapterVersionKey, type PriorityClass} from '@basilworks/core';
import {type Random, seededRandom} from '@basilworks/stand-ins';

import type {Phase, Scenario} from './scenarios.js';

/** One request that a scenario offers, the same for every policy. */
export interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
  readonly member: string;
  readonly adapter: string;
  readonly version: string;
  /** Key of adapter and version. */
  readonly key: string;
  readonly priorityClass: PriorityClass;
  readonly tokens: number;
  readonly prefixDigest: string;
  /** Milliseconds from arrival until the answer has no more use. */
  readonly deadlineMs: number;
}

/** Exponent of the popularity of adapters by rank. */
const POPULARITY_EXPONENT = 1;

/** Time within which popularity turns over in a shift. */
const SHIFT_SECONDS = 60;

const MEMBERS = 40;

/** How the requests of one class come and what they ask for. */
interface ClassProfile {
  /** Mean number of requests of one session on one adapter. */
  readonly sessionRequests: number;
  /** Mean time between the requests of a session, seconds. */
  readonly sessionGapSeconds: number;
  readonly meanTokens: number;
  readonly deadlineMs: number;
}

const PROFILES: Readonly<Record<PriorityClass, ClassProfile>> = {
  urgent: {
    sessionRequests: 3,
    sessionGapSeconds: 15,
    meanTokens: 60,
    deadlineMs: 8_000,
  },
  standard: {
    sessionRequests: 3,
    sessionGapSeconds: 20,
    meanTokens: 150,
    deadlineMs: 30_000,
  },
  deferrable: {
    sessionRequests: 10,
    sessionGapSeconds: 1,
    meanTokens: 400,
    deadlineMs: 300_000,
  },
};

/** Generates a scenario's arrivals in order of time. */
export const generateArrivals = (
  scenario: Scenario,
  seed: number,
): readonly Arrival[] => {
  const random = seededRandom(seed);
  const popularity = new Popularity(scenario, random);
  const arrivals: Arrival[] = [];
  scenario.phases.forEach((phase, index) => {
    const endSeconds =
      scenario.phases[index + 1]?.fromSeconds ?? scenario.seconds;
    for (const priorityClass of CLASSES) {
      addSessions(arrivals, {
        phase,
        endSeconds,
        priorityClass,
        popularity,
        random,
      });
    }
  });
  return arrivals
    .filter(({atMs}) => atMs < scenario.seconds * 1_000)
    .sort((first, second) => first.atMs - second.atMs)
    .map((arrival, index) => ({...arrival, requestId: `request-${index}`}));
};

const CLASSES: readonly PriorityClass[] = ['urgent', 'standard', 'deferrable'];

interface SessionContext {
  readonly phase: Phase;
  readonly endSeconds: number;
  readonly priorityClass: PriorityClass;
  readonly popularity: Popularity;
  readonly random: Random;
}

const addSessions = (arrivals: Arrival[], context: SessionContext): void => {
  const {phase, endSeconds, priorityClass, random} = context;
  const profile = PROFILES[priorityClass];
  const sessionsPerSecond =
    (phase.requestsPerSecond * phase.shares[priorityClass]) /
    profile.sessionRequests;
  let atSeconds = phase.fromSeconds;
  for (;;) {
    atSeconds += exponential(random, 1 / sessionsPerSecond);
    if (atSeconds >= endSeconds) {
      return;
    }
    addSession(arrivals, context, profile, atSeconds);
  }
};

const addSession = (
  arrivals: Arrival[],
  {phase, priorityClass, popularity, random}: SessionContext,
  profile: ClassProfile,
  fromSeconds: number,
): void => {
  const adapter = popularity.draw(phase, fromSeconds);
  const member = `member-${adapter % MEMBERS}`;
  const name = `adapter-${String(adapter).padStart(4, '0')}`;
  const session = `${name}/${arrivals.length}`;
  let atSeconds = fromSeconds;
  do {
    arrivals.push({
      requestId: '',
      atMs: atSeconds * 1_000,
      member,
      adapter: name,
      version: 'v1',
      key: adapterVersionKey({adapter: name, version: 'v1'}),
      priorityClass,
      tokens: Math.ceil(profile.meanTokens * (0.5 + exponential(random, 0.5))),
      prefixDigest: session,
      deadlineMs: profile.deadlineMs,
    });
    atSeconds += exponential(random, profile.sessionGapSeconds);
  } while (random() < 1 - 1 / profile.sessionRequests);
};

/** Which adapters are asked for, and how that changes. */
class Popularity {
  private readonly cumulative: readonly number[];
  private readonly before: readonly number[];
  private readonly after: readonly number[];
  private readonly hot: readonly number[];

  constructor(
    private readonly scenario: Scenario,
    private readonly random: Random,
  ) {
    const {adapters} = scenario.deployment;
    this.cumulative = cumulativePopularity(adapters);
    this.before = shuffled(adapters, random);
    this.after = shuffled(adapters, random);
    this.hot = shuffled(adapters, random);
  }

  /** Returns the number of the adapter that a session is about. */
  draw(phase: Phase, atSeconds: number): number {
    if (phase.hotShare > 0 && this.random() < phase.hotShare) {
      const index = Math.floor(this.random() * phase.hotAdapters);
      return this.hot[index] ?? 0;
    }
    const {shiftAtSeconds} = this.scenario;
    const shifted =
      shiftAtSeconds === undefined
        ? 0
        : (atSeconds - shiftAtSeconds) / SHIFT_SECONDS;
    const ranking = this.random() < shifted ? this.after : this.before;
    return ranking[this.drawRank()] ?? 0;
  }

  private drawRank(): number {
    const total = this.cumulative.at(-1) ?? 0;
    const wanted = this.random() * total;
    let low = 0;
    let high = this.cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.cumulative[middle] ?? 0) > wanted) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}

const cumulativePopularity = (count: number): readonly number[] => {
  let sum = 0;
  return Array.from({length: count}, (_, rank) => {
    sum += 1 / (rank + 1) ** POPULARITY_EXPONENT;
    return sum;
  });
};

const shuffled = (count: number, random: Random): readonly number[] => {
  const numbers = Array.from({length: count}, (_, index) => index);
  for (let last = count - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    const kept = numbers[last] ?? 0;
    numbers[last] = numbers[other] ?? 0;
    numbers[other] = kept;
  }
  return numbers;
};

const exponential = (random: Random, mean: number): number =>
  -Math.log(1 - random()) * mean;
