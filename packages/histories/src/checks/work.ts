import type {EngineRun} from '@basilworks/stand-ins';

import {answeredFor} from '../fleet/call-runners.js';
import type {Fleet} from '../fleet/fleet.js';
import type {BrokenPromise, Violation} from './violation.js';

/**
 * Requests ran on the version that they named, "not run" was true, no adapter
 * was unloaded under a request, and no unrepeatable call ran twice.
 */
export const checkWork = (fleet: Fleet): readonly Violation[] => [
  ...checkRequests(fleet),
  ...checkEvictions(fleet),
  ...checkCalls(fleet),
  ...checkAcceptedWork(fleet),
];

const checkRequests = (fleet: Fleet): readonly Violation[] => {
  const runs = [...fleet.servers.values()].flatMap(
    ({engine}) => engine?.history ?? [],
  );
  const ran = new Set(runs.map(({requestId}) => requestId));
  const wrong = runs.filter((run) => !isAsNamed(fleet, run));
  const falseRefusals = fleet.history.requests.filter(
    ({request, refusal}) =>
      refusal?.notRun === true && ran.has(request.requestId),
  );
  return [
    ...wrong.map(({requestId, startedMs}): Violation => ({
      promise: 'wrong-version-ran',
      atMs: startedMs ?? 0,
      detail: requestId,
    })),
    ...falseRefusals.map(({atMs, request, refusal}): Violation => ({
      promise: 'false-not-run',
      atMs,
      detail: `${request.requestId}: ${refusal?.code ?? ''}`,
    })),
  ];
};

const isAsNamed = (
  {requests}: Fleet,
  {requestId, adapter, version}: EngineRun,
): boolean => {
  const request = requests.get(requestId);
  return request?.adapter === adapter && request.version === version;
};

const checkEvictions = ({history}: Fleet): readonly Violation[] =>
  history.evictionsInUse.map(({atMs, server, adapter}) => ({
    promise: 'evicted-in-use',
    atMs,
    detail: `${adapter} on ${server}`,
  }));

/** Every unrepeatable call ran at most once, and its caller was told so. */
const checkCalls = ({servers, history}: Fleet): readonly Violation[] => {
  const runs = [...servers.values()].flatMap(
    ({plain}) => plain?.history() ?? [],
  );
  const runCounts = new Map(
    runs.map(({member, body, runs: count}) => [`${member}/${body}`, count]),
  );
  const repeated = new Set<string>();
  const seen = new Set<string>();
  for (const {call} of history.calls) {
    const key = answeredFor(call);
    (seen.has(key) ? repeated : seen).add(key);
  }
  const doubled = runs.filter(({runs: count}) => count > 1);
  return [
    ...doubled.map(({member, body, runs: count}): Violation => ({
      promise: 'ran-twice',
      atMs: 0,
      detail: `${member}/${body} ran ${count} times`,
    })),
    ...history.calls.flatMap(({atMs, call, answeredFor: answered, refusal}) => {
      const key = answeredFor(call);
      const hasRun = runCounts.has(key);
      if (refusal === undefined && (answered !== key || !hasRun)) {
        const detail = `${key} got the answer of ${answered ?? 'nobody'}`;
        return [violation('wrong-answer', atMs, detail)];
      }
      // No schedule uses a key for two different calls of one member.
      if (refusal?.code === 'idempotency-key-reused') {
        return [violation('wrong-answer', atMs, `${key} met another's key`)];
      }
      return refusal?.notRun === true && hasRun && !repeated.has(key)
        ? [violation('false-not-run', atMs, key)]
        : [];
    }),
  ];
};

/** Accepted work ends, and only its member learns of it. */
const checkAcceptedWork = ({history}: Fleet): readonly Violation[] => {
  const {works, workAnswers} = history;
  const owners = new Map(
    works.map(({request}) => [request.requestId, request.member]),
  );
  return workAnswers.flatMap(
    ({atMs, requestId, member, isFinal, status}): readonly Violation[] => {
      const detail = `${requestId} for ${member}: ${status.kind}`;
      if (owners.get(requestId) !== member) {
        return status.kind === 'not-found' ||
          status.kind === 'store-unavailable'
          ? []
          : [violation('work-shown-to-another-member', atMs, detail)];
      }
      const isLost =
        status.kind === 'not-found' ||
        (isFinal && status.kind !== 'done' && status.kind !== 'failed');
      return isLost ? [violation('work-lost', atMs, detail)] : [];
    },
  );
};

const violation = (
  promise: BrokenPromise,
  atMs: number,
  detail: string,
): Violation => ({promise, atMs, detail});
