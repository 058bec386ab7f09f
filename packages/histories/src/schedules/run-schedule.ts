import {checkFleet} from '../checks/check-fleet.js';
import type {Violation} from '../checks/violation.js';
import {Fleet} from '../fleet/fleet.js';
import {sampleServers} from '../fleet/sample-servers.js';
import {FINAL_QUERY} from '../fleet/work-runners.js';
import {healAll, perform, queryWorks} from './actions.js';
import {
  FAULT_PERIOD_MS,
  type FaultSchedule,
  SETTLING_PERIOD_MS,
} from './fault-schedule.js';

/** Engines of each simulated deployment. */
const ENGINES = 3;

/** Delay of the host list against what happened, milliseconds. */
const HOST_LIST_LAG_MS = 800;

/** Milliseconds between two probes of who may send to which server. */
const PROBE_INTERVAL_MS = 150;

/** Adapters of the first sheet, more than the slots of an engine. */
const ADAPTERS = 6;

/**
 * Milliseconds after which work whose runner was lost has run elsewhere: 30 s
 * between two scans, 32 s for a scan of 16 shards, 20 s of the work's own
 * deadline, and the asking of its former runner.
 */
const WORK_RECOVERY_MS = 90_000;

/** Milliseconds in which a query for work is answered. */
const QUERY_MS = 1_000;

const FIRST_SHEET_MS = 2_000;
const FIRST_REQUEST_MS = 4_000;
const REQUEST_INTERVAL_MS = 600;

/** Returns whether an engine checks fencing numbers. */
const FENCING_CHECKS = {
  none: () => false,
  some: (index: number) => index % 2 === 0,
  all: () => true,
} as const;

/** Runs one schedule on virtual time and checks its history. */
export const runSchedule = (schedule: FaultSchedule): readonly Violation[] => {
  const {seed, hosts, zones, checksFencing, maximumClockDrift} = schedule;
  const fleet = new Fleet({
    seed,
    hosts,
    zones,
    servers: sampleServers(ENGINES, zones, FENCING_CHECKS[checksFencing]),
    hostListLagMs: HOST_LIST_LAG_MS,
    maximumClockDrift,
  });
  for (const name of fleet.hostNames) {
    fleet.start(name);
  }
  startWork(fleet);
  for (const {atMs, action} of schedule.steps) {
    fleet.scheduler.schedule(atMs, () => {
      perform(fleet, action);
    });
  }
  fleet.scheduler.schedule(FAULT_PERIOD_MS + 1, () => {
    healAll(fleet);
  });
  runProbing(fleet, FAULT_PERIOD_MS + SETTLING_PERIOD_MS);
  settleWork(fleet);
  return checkFleet(fleet);
};

/** Applies a first sheet and sends requests all the time. */
const startWork = (fleet: Fleet): void => {
  fleet.scheduler.schedule(FIRST_SHEET_MS, () => {
    perform(fleet, {
      type: 'sheet',
      host: 0,
      version: 1,
      adapters: ADAPTERS,
      sawNewest: false,
    });
  });
  for (
    let atMs = FIRST_REQUEST_MS;
    atMs < FAULT_PERIOD_MS;
    atMs += REQUEST_INTERVAL_MS
  ) {
    fleet.scheduler.schedule(atMs, () => {
      const host = Math.floor(fleet.random() * fleet.hostNames.length);
      const adapter = Math.floor(fleet.random() * ADAPTERS);
      perform(fleet, {type: 'requests', host, adapter, count: 1});
    });
  }
};

/** Gives accepted work its time to end, and asks what became of it. */
const settleWork = (fleet: Fleet): void => {
  const {scheduler, history} = fleet;
  if (history.works.length > 0) {
    scheduler.runUntil(scheduler.nowMs() + WORK_RECOVERY_MS);
    queryWorks(fleet, 0, FINAL_QUERY);
    scheduler.runUntil(scheduler.nowMs() + QUERY_MS);
  }
};

const runProbing = (fleet: Fleet, untilMs: number): void => {
  const {scheduler} = fleet;
  for (let atMs = 0; atMs < untilMs; atMs += PROBE_INTERVAL_MS) {
    scheduler.runUntil(atMs);
    fleet.probeServers();
  }
  scheduler.runUntil(untilMs);
};
