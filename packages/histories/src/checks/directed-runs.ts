import type {StoreOperation} from '@basilworks/core';

import {Fleet} from '../fleet/fleet.js';
import {STORE_NODE} from '../fleet/platform-runners.js';
import {sampleServers, sampleSheet} from '../fleet/sample-servers.js';
import {checkFleet} from './check-fleet.js';
import type {Violation} from './violation.js';

const SEED = 1;

/** Virtual time in which a deployment comes up or settles. */
const SETTLING_MS = 30_000;

/** Time for which a link stays cut, longer than a call's timeout. */
const CUT_MS = 4_000;

const PROBE_INTERVAL_MS = 150;

/** Deadline of the calls to plain services. */
const CALL_DEADLINE_MS = 8_000;

/**
 * Runs whose faults strike at one exact moment, which generated schedules meet
 * too seldom.
 */
export const checkDirectedRuns = (): readonly Violation[] => [
  ...lostHeadAnswer(),
  ...lostHandoverAnswer(),
  ...sameKeyOfTwoMembers(),
];

/** The answer to the write that moves the head is lost. */
const lostHeadAnswer = (): readonly Violation[] => {
  const fleet = startFleet(1);
  cutAtFirst(fleet, 'configuration');
  fleet.host('host-0')?.handle({
    type: 'sheet-submitted',
    submission: 'sheet',
    operator: 'sheet',
    text: sampleSheet(3, 'v1'),
    dryRun: false,
    allowMassRetirement: false,
    expectedRevision: undefined,
  });
  runProbing(fleet);
  return checkFleet(fleet);
};

/** The answer to the write that gives a server away is lost. */
const lostHandoverAnswer = (): readonly Violation[] => {
  const fleet = startFleet(1);
  cutAtFirst(fleet, 'zone');
  fleet.listHost('host-1');
  fleet.start('host-1');
  runProbing(fleet);
  return checkFleet(fleet);
};

/** Two members use one idempotency key for calls of their own. */
const sameKeyOfTwoMembers = (): readonly Violation[] => {
  const fleet = startFleet(1);
  const members = ['member-0', 'member-1'];
  for (const member of members) {
    const requestId = `call-of-${member}`;
    const call = {
      requestId,
      member,
      pool: 'billing-desk',
      operation: 'top-up',
      idempotent: false,
      idempotencyKey: 'key',
      bodyDigest: 'body',
    };
    fleet.calls.set(requestId, call);
    fleet.host('host-0')?.handle({
      type: 'call-submitted',
      call,
      remainingMs: CALL_DEADLINE_MS,
    });
    runProbing(fleet);
  }
  const runs = [...fleet.servers.values()].flatMap(
    ({plain}) => plain?.history() ?? [],
  );
  const missing = members.filter(
    (member) => !runs.some((run) => run.member === member),
  );
  return missing.map((member) => ({
    promise: 'wrong-answer',
    atMs: fleet.scheduler.nowMs(),
    detail: `${member} was given the answer to another member's call`,
  }));
};

/** Starts the first hosts of a zone of two, with servers that ignore fencing. */
const startFleet = (started: number): Fleet => {
  const fleet = new Fleet({
    seed: SEED,
    hosts: 2,
    zones: 1,
    servers: sampleServers(4, 1, () => false),
    hostListLagMs: 0,
    maximumClockDrift: 0,
  });
  for (const name of fleet.hostNames.slice(started)) {
    fleet.hostList.removeHost(name);
  }
  for (const name of fleet.hostNames.slice(0, started)) {
    fleet.start(name);
  }
  runProbing(fleet);
  return fleet;
};

/** Cuts the first host off while its next write of a kind is answered. */
const cutAtFirst = (fleet: Fleet, kind: string): void => {
  const {store, network, scheduler} = fleet;
  const call = store.call.bind(store);
  let isDone = false;
  store.call = (operation: StoreOperation, answer) => {
    call(operation, answer);
    if (!isDone && operation.type === 'update' && operation.kind === kind) {
      isDone = true;
      for (const node of [STORE_NODE, 'host-1']) {
        network.cut('host-0', node);
        scheduler.schedule(CUT_MS, () => {
          network.join('host-0', node);
        });
      }
    }
  };
};

const runProbing = (fleet: Fleet): void => {
  const untilMs = fleet.scheduler.nowMs() + SETTLING_MS;
  while (fleet.scheduler.nowMs() < untilMs) {
    fleet.scheduler.runUntil(fleet.scheduler.nowMs() + PROBE_INTERVAL_MS);
    fleet.probeServers();
  }
};
