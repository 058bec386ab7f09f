import {setInterval} from 'node:timers';

import {type Deployment, seededRandom} from '@basilworks/stand-ins';

import {Catalogue} from './catalogue.js';
import {checkHistory, type HistoryVerdict} from './check-history.js';
import {
  documentedCommands,
  type FailedCommand,
  runDocumentedCommands,
} from './documented-commands.js';
import {type FaultContext, type FaultName, FAULTS} from './faults.js';
import {Fleet} from './fleet.js';
import type {DemoHistory, LeavingServer} from './history.js';
import {applySheet, waitUntilKnown} from './operator.js';
import {type DemoSummary, formatReport, summarize} from './report.js';
import {rollOver} from './roll-over.js';
import {Workload} from './workload.js';

const PROGRESS_INTERVAL_MS = 2_000;

/** What to run, and for how long. */
export interface DemoOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly adapters: number;
  readonly faults: readonly FaultName[];
  readonly seed: number;
  /** Runs every command of the operators' pages after the load. */
  readonly commands: boolean;
  /** Keeps settings and logs for inspection. */
  readonly keepFiles: boolean;
}

export interface DemoResult {
  readonly summary: DemoSummary;
  readonly verdict: HistoryVerdict;
  readonly report: readonly string[];
  /** Commands of the operators' pages that did not work. */
  readonly failedCommands: readonly FailedCommand[];
}

/** Runs one deployment under load and checks what happened. */
export const runDemo = async (
  options: DemoOptions,
  report: (message: string) => void,
): Promise<DemoResult> => {
  const {deployment, seed} = options;
  const fleet = await Fleet.start({...deployment, seed});
  report(
    `${deployment.name}: ${fleet.hosts.length} entry hosts, ` +
      `${fleet.platform.addresses.servers.length} servers; ` +
      `files in ${fleet.directory}`,
  );
  const end = () => {
    void fleet.end(options).then(() => process.exit(1));
  };
  process.once('SIGINT', end);
  process.once('SIGTERM', end);
  try {
    const history = await recordHistory(fleet, options, report);
    const verdict = checkHistory(history);
    const summary = summarize(history, verdict);
    const lines = formatReport(summary, verdict, history);
    const failedCommands = options.commands
      ? await runCommands(fleet, options, history, report)
      : [];
    return {summary, verdict, report: lines, failedCommands};
  } finally {
    await fleet.end(options);
    process.off('SIGINT', end);
    process.off('SIGTERM', end);
  }
};

const runCommands = async (
  fleet: Fleet,
  {adapters}: DemoOptions,
  {callers}: DemoHistory,
  report: (message: string) => void,
): Promise<readonly FailedCommand[]> => {
  const [first] = fleet.hosts;
  const request = callers.find((record) => record.kind === 'model');
  const commands = await documentedCommands();
  const failed = await runDocumentedCommands(commands, {
    host: first?.entry.callerAddress ?? '',
    token: fleet.operator.token,
    sheet: new Catalogue(fleet.deployment, adapters).toSheet(),
    requestId: request?.attempts.at(-1)?.requestId ?? '',
  });
  report(
    `${commands.length - failed.length} of ${commands.length} commands of ` +
      `the operators' pages worked`,
  );
  for (const {page, words, exitCode, output} of failed) {
    report(`${page}: basilworks ${words.join(' ')}: ${exitCode}\n${output}`);
  }
  return failed;
};

const recordHistory = async (
  fleet: Fleet,
  {seconds, requestsPerSecond, adapters, faults, seed}: DemoOptions,
  report: (message: string) => void,
): Promise<DemoHistory> => {
  await fleet.waitUntilReady();
  const catalogue = new Catalogue(fleet.deployment, adapters);
  const [first] = fleet.hosts;
  const result = await applySheet(
    first?.entry.callerAddress ?? '',
    fleet.operator,
    catalogue.toSheet(),
  );
  const last = catalogue.adapters.at(-1);
  const waitedMs = await waitUntilKnown(
    fleet.hosts.map(({entry}) => entry.callerAddress),
    `${last?.adapter ?? ''}@${last?.version ?? ''}`,
  );
  report(
    `sheet of ${adapters} adapters: ${result.kind}, ` +
      `in force everywhere ${Math.round(waitedMs)} ms later`,
  );
  const random = seededRandom(seed);
  const workload = new Workload(fleet, catalogue, random, {
    seconds,
    requestsPerSecond,
  });
  const leaving: LeavingServer[] = [];
  const context: FaultContext = {
    fleet,
    random: seededRandom(seed + 1),
    seconds,
    leaving,
    report,
  };
  const progress = setInterval(() => {
    const {sentCount, records} = workload;
    report(`${records.length} of ${sentCount} requests are over`);
  }, PROGRESS_INTERVAL_MS);
  try {
    const [callers] = await Promise.all([
      workload.run(),
      rollOver(fleet, catalogue, seconds, report),
      ...faults.map((fault) => FAULTS[fault](context)),
    ]);
    return {
      callers,
      standIns: await fleet.platform.readHistory(),
      leaving,
      enginesRestarted: faults.includes('engine-restart'),
    };
  } finally {
    clearInterval(progress);
  }
};
