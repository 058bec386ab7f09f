import {Fleet} from '../fleet/fleet.js';
import {sampleServers, sampleSheet} from '../fleet/sample-servers.js';

/** What one size of deployment asks of the object API. */
export interface StoreCallFigures {
  readonly hosts: number;
  readonly zones: number;
  readonly engines: number;
  readonly adapters: number;
  /** Calls a second in the steady state, all hosts together. */
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** From the operator's answer to a host that holds the revision. */
  readonly spreadP50Ms: number;
  readonly spreadP99Ms: number;
  readonly spreadMaximumMs: number;
}

const WARM_UP_MS = 30_000;
const STEADY_MS = 60_000;
const SHEETS = 30;
const SHEET_INTERVAL_MS = 7_000;
const SETTLING_MS = 15_000;

/** Measures a fleet of a size on virtual time, without faults. */
export const measureStoreCalls = (
  hosts: number,
  zones: number,
  engines: number,
  adapters: number,
  seed: number,
): StoreCallFigures => {
  const fleet = new Fleet({
    seed,
    hosts,
    zones,
    servers: sampleServers(engines, zones, (index) => index % 2 === 0),
    hostListLagMs: 500,
    maximumClockDrift: 0.001,
  });
  for (const name of fleet.hostNames) {
    fleet.start(name);
  }
  submitSheet(fleet, 0, adapters);
  fleet.scheduler.runUntil(WARM_UP_MS);
  const before = {...fleet.store.counts};
  fleet.scheduler.runUntil(WARM_UP_MS + STEADY_MS);
  const after = {...fleet.store.counts};
  const perSecond = (...types: readonly (keyof typeof after)[]): number =>
    types.reduce((sum, type) => sum + after[type] - before[type], 0) /
    (STEADY_MS / 1_000);
  const spread = measureSpread(fleet, adapters);
  return {
    hosts,
    zones,
    engines,
    adapters,
    readsPerSecond: perSecond('get', 'watch', 'list'),
    writesPerSecond: perSecond('create', 'update', 'delete'),
    spreadP50Ms: quantile(spread, 0.5),
    spreadP99Ms: quantile(spread, 0.99),
    spreadMaximumMs: quantile(spread, 1),
  };
};

/** Applies sheets at hosts in turn, and returns each host's delay for each. */
const measureSpread = (fleet: Fleet, adapters: number): readonly number[] => {
  const {scheduler, history, random} = fleet;
  for (let sheet = 1; sheet <= SHEETS; sheet += 1) {
    scheduler.runUntil(scheduler.nowMs() + SHEET_INTERVAL_MS * random());
    submitSheet(fleet, sheet, adapters);
    scheduler.runUntil(scheduler.nowMs() + SHEET_INTERVAL_MS);
  }
  scheduler.runUntil(scheduler.nowMs() + SETTLING_MS);
  return history.sheets
    .slice(1)
    .flatMap(({atMs, result}) =>
      result.kind === 'applied'
        ? fleet.hostNames.map(
            (host) => firstHeldMs(fleet, host, result.revision) - atMs,
          )
        : [],
    );
};

const firstHeldMs = (
  {history}: Fleet,
  host: string,
  revision: number,
): number =>
  history.revisions.find(
    (seen) => seen.host === host && seen.revision >= revision,
  )?.atMs ?? Number.POSITIVE_INFINITY;

const submitSheet = (fleet: Fleet, number: number, adapters: number): void => {
  const name = fleet.hostNames[number % fleet.hostNames.length] ?? '';
  fleet.scheduler.schedule(number === 0 ? 5_000 : 0, () => {
    fleet.host(name)?.handle({
      type: 'sheet-submitted',
      submission: `sheet-${number}`,
      operator: 'planner',
      text: sampleSheet(adapters, `v${number + 1}`),
      dryRun: false,
      allowMassRetirement: false,
      expectedRevision: undefined,
    });
  });
};

const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((first, second) => first - second);
  const index = Math.ceil(share * sorted.length) - 1;
  return Math.round(sorted[Math.max(0, index)] ?? Number.NaN);
};
