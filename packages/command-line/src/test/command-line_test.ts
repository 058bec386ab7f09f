import type {AddressInfo} from 'node:net';
import {createServer, type Server} from 'node:http';

import type {SheetResult} from '@basilworks/core';
import {OPERATOR_PATHS, SHEET_RESULT_STATUS} from '@basilworks/protocol';
import test from 'ava';
import {ok} from 'neverthrow';

import {runCommandLine} from '../command-line.js';
import {EXIT_CODES, type ExitCode} from '../lib/exit-code.js';

interface Run {
  readonly exitCode: ExitCode;
  readonly output: readonly string[];
  readonly messages: readonly string[];
}

const run = async (
  commandArguments: readonly string[],
  isTerminal = false,
): Promise<Run> => {
  const output: string[] = [];
  const messages: string[] = [];
  const exitCode = await runCommandLine(commandArguments, {
    variables: {},
    isTerminal,
    print: (line) => output.push(line),
    report: (line) => messages.push(line),
    readText: () => Promise.resolve(ok('adapter,version\n')),
    signal: new AbortController().signal,
  });
  return {exitCode, output, messages};
};

const serveResult = async (result: SheetResult): Promise<Server> => {
  const server = createServer((_request, response) => {
    response.writeHead(SHEET_RESULT_STATUS[result.kind]);
    response.end(JSON.stringify({result}));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

const hostOf = (server: Server): string =>
  `127.0.0.1:${(server.address() as AddressInfo).port}`;

const HOST_STATUS = {
  host: 'entry-1',
  zone: 'fairhaven',
  incarnation: 'entry-1#1',
  standing: 'serving',
  ready: true,
  reason: '',
  revision: 1,
  ownedServers: 0,
  unrecorded: 0,
};

const exitCodes: readonly (readonly [SheetResult, ExitCode])[] = [
  [{kind: 'applied', revision: 4, changes: []}, EXIT_CODES.success],
  [{kind: 'unchanged', revision: 4}, EXIT_CODES.success],
  [{kind: 'difference', revision: 4, changes: []}, EXIT_CODES.success],
  [
    {kind: 'invalid', faults: [{line: 2, column: 'urgency', problem: 'x'}]},
    EXIT_CODES.invalidSheet,
  ],
  [
    {kind: 'conflict', revision: 5, changes: [], operator: 'ines'},
    EXIT_CODES.conflict,
  ],
  [{kind: 'mass-retirement', retired: 9, total: 10}, EXIT_CODES.guarded],
  [{kind: 'store-unavailable', retryAfterMs: 10}, EXIT_CODES.unavailable],
];

for (const [result, expected] of exitCodes) {
  test(`sheet apply exits with ${expected} when ${result.kind}`, async (t) => {
    const server = await serveResult(result);
    t.teardown(() => server.close());
    const ran = await run([
      ...['sheet', 'apply', 'sheet.csv'],
      ...['--host', hostOf(server), '--token', 'secret'],
    ]);
    t.is(ran.exitCode, expected);
    t.deepEqual(JSON.parse(ran.output.join('')), result);
  });
}

test('a sheet is checked without a host, faults with lines', async (t) => {
  const ran = await run(['sheet', 'check', '-'], true);
  t.is(ran.exitCode, EXIT_CODES.invalidSheet);
  t.regex(ran.output.join('\n'), /1\s+urgency\s+column is missing/);
});

test('a missing host or token is a usage error', async (t) => {
  const withoutHost = await run(['sheet', 'apply', 'sheet.csv']);
  t.is(withoutHost.exitCode, EXIT_CODES.usage);
  t.regex(withoutHost.messages.join(), /BASILWORKS_HOST/);
  const withoutToken = await run(['sheet', 'apply', 'a.csv', '--host', 'h']);
  t.is(withoutToken.exitCode, EXIT_CODES.usage);
  t.regex(withoutToken.messages.join(), /BASILWORKS_TOKEN/);
});

test('a view of all hosts names the silent and the unknown', async (t) => {
  const entryHost = (host: string, callerAddress: string) => ({
    host,
    zone: 'fairhaven',
    peerAddress: '127.0.0.1:1',
    callerAddress,
    state: 'live',
  });
  let hosts: unknown[] = [];
  const server = createServer((request, response) => {
    const body =
      request.url === OPERATOR_PATHS.hosts
        ? {...HOST_STATUS, hosts}
        : {host: 'entry-1', decisions: []};
    response.end(JSON.stringify(body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const target = ['--host', hostOf(server), '--token', 'secret'];
  hosts = [entryHost('entry-1', hostOf(server))];
  const unknown = await run(['explain', 'request', 'r1', ...target]);
  t.is(unknown.exitCode, EXIT_CODES.notFound);
  const closed = await serveResult({kind: 'unchanged', revision: 1});
  const silentAddress = hostOf(closed);
  await new Promise((resolve) => closed.close(resolve));
  hosts.push(entryHost('entry-2', silentAddress));
  const partial = await run(['explain', 'request', 'r1', ...target]);
  t.is(partial.exitCode, EXIT_CODES.partial);
  t.regex(partial.messages.join(), /no answer from entry-2/);
});

test('an unknown option and an unreachable host have exit codes', async (t) => {
  t.is((await run(['sheet', 'apply', '--nope'])).exitCode, EXIT_CODES.usage);
  const server = await serveResult({kind: 'unchanged', revision: 1});
  const host = hostOf(server);
  await new Promise((resolve) => server.close(resolve));
  const ran = await run([
    'sheet',
    'apply',
    's',
    '--host',
    host,
    '--token',
    't',
  ]);
  t.is(ran.exitCode, EXIT_CODES.unavailable);
});
