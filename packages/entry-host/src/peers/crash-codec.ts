import type {CrashReport} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

/** Age of the latest complete answer to a request with a key. */
export interface KeyCompletion {
  readonly key: string;
  /** Milliseconds. */
  readonly ageMs: number;
}

export const encodeCrashReports = (
  reports: readonly CrashReport[],
): fleet.ServerCrash[] =>
  reports.map(({server, ageMs, requests}) => ({
    serverRun: server,
    ageMs: encodeMs(ageMs),
    requests: requests.map(({keys, runMs}) => ({
      keys: [...keys],
      runMs: encodeMs(runMs),
    })),
  }));

export const decodeCrashReports = (
  crashes: readonly fleet.ServerCrash[],
): readonly CrashReport[] =>
  crashes.map(({serverRun, ageMs, requests}) => ({
    server: serverRun,
    ageMs,
    requests: requests.map(({keys, runMs}) => ({keys, runMs})),
  }));

export const encodeCompletions = (
  completions: readonly KeyCompletion[],
): fleet.Completion[] =>
  completions.map(({key, ageMs}) => ({key, ageMs: encodeMs(ageMs)}));

/** Messages carry whole, unsigned milliseconds. */
const encodeMs = (milliseconds: number): number =>
  Math.max(0, Math.round(milliseconds));
