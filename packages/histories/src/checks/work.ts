import type {EngineRun} from '@basilworks/stand-ins';

import type {Fleet} from '../fleet/fleet.js';
import type {Violation} from './violation.js';

/**
 * Requests ran on the version that they named, "not run" was true, no adapter
 * was unloaded under a request, and no unrepeatable call ran twice.
 */
export const checkWork = (fleet: Fleet): readonly Violation[] => [
  ...checkRequests(fleet),
  ...checkEvictions(fleet),
  ...checkCalls(fleet),
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

const checkCalls = ({servers, history}: Fleet): readonly Violation[] => {
  const runs = [...servers.values()].flatMap(
    ({plain}) => plain?.history() ?? [],
  );
  const runCounts = new Map(runs.map(({body, runs: count}) => [body, count]));
  const attempts = new Map<string, number>();
  for (const {key} of history.calls) {
    const [, body = ''] = key.split('/');
    attempts.set(body, (attempts.get(body) ?? 0) + 1);
  }
  const doubled = runs.filter(({runs: count}) => count > 1);
  const falseRefusals = history.calls.filter(({key, refusal}) => {
    const [, body = ''] = key.split('/');
    return (
      refusal?.notRun === true &&
      attempts.get(body) === 1 &&
      (runCounts.get(body) ?? 0) > 0
    );
  });
  return [
    ...doubled.map(({body, runs: count}): Violation => ({
      promise: 'ran-twice',
      atMs: 0,
      detail: `${body} ran ${count} times`,
    })),
    ...falseRefusals.map(({atMs, key}): Violation => ({
      promise: 'false-not-run',
      atMs,
      detail: key,
    })),
  ];
};
