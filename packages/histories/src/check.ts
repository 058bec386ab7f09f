import {checkDirectedRuns} from './checks/directed-runs.js';
import {checkMemberIsolation} from './checks/member-isolation.js';
import {checkProofs} from './checks/proofs.js';
import type {Violation} from './checks/violation.js';
import {
  type FaultSchedule,
  generateSchedules,
} from './schedules/fault-schedule.js';
import {runSchedule} from './schedules/run-schedule.js';

/** A schedule that broke promises, with what it takes to run it again. */
export interface FailedSchedule {
  readonly index: number;
  readonly schedule: FaultSchedule;
  readonly violations: readonly Violation[];
}

/** How a number of schedules ended. */
export interface CheckReport {
  readonly schedules: number;
  readonly failed: readonly FailedSchedule[];
}

/** Runs the schedules that follow from a seed. */
export const checkHistories = (
  schedules: number,
  seed: number,
  stopAtFirst = false,
): CheckReport => {
  const failed: FailedSchedule[] = [];
  const scripted = [
    ...checkMemberIsolation(),
    ...checkProofs(),
    ...checkDirectedRuns(),
  ];
  let run = 0;
  for (const schedule of generateSchedules(schedules, seed)) {
    const violations = [
      ...(run === 0 ? scripted : []),
      ...runSchedule(schedule),
    ];
    if (violations.length > 0) {
      failed.push({index: run, schedule, violations});
    }
    run += 1;
    if (stopAtFirst && failed.length > 0) {
      break;
    }
  }
  return {schedules: run, failed};
};

/** Number of broken promises over all schedules. */
export const countViolations = ({failed}: CheckReport): number =>
  failed.reduce((sum, {violations}) => sum + violations.length, 0);

/** Number of broken promises of each kind. */
export const countByPromise = ({
  failed,
}: CheckReport): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const {promise} of failed.flatMap(({violations}) => violations)) {
    counts[promise] = (counts[promise] ?? 0) + 1;
  }
  return counts;
};
