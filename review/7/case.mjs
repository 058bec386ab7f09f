/**
 * A host is killed, and its clients take their streams up at the others. While
 * they wait for their first events, one of four model servers goes dark; it
 * crashes some seconds later. Meanwhile an empty server of a new software
 * version is added.
 */
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {readStream} from '../lib-2/client.mjs';
import {BROKEN, Deployment, HOST_NAME, SERVICE} from '../lib-2/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';

const SERVERS = 4;
/** Servers that are added: `scale_out`, share 0.3 at most. */
const ADDED_SERVERS = 1;
const STREAMS = 160;
const ADAPTERS = 64;
/** What `contactMs` is at both users. */
const CONTACT_MS = 3_000;
/** Time from a request to its first event: that of a long prompt. */
const FIRST_EVENT_MS = 1_500;
/** From the kill of the host to the loss of the server, and for how long. */
const ADDED_AFTER_MS = 800;
const DARK_AFTER_MS = 1_200;
const DARK_MS = 2_000;

const ROUTE = {
  name: 'turn-advice',
  host: HOST_NAME,
  pathPrefix: '/turn/',
  routeType: 'stream',
  canResume: true,
  timeoutMs: 20_000,
  targetLatencyMs: 1_000,
  gapAimMs: 400,
  priority: 0,
  maxAttempts: 2,
  sticky: true,
  service: SERVICE,
};

const run = async (deployment) => {
  await deployment.start({
    hosts: 9,
    engines: SERVERS,
    routes: [ROUTE],
    engine: {firstMs: FIRST_EVENT_MS},
  });
  const added = [];
  for (let serial = 1; serial <= ADDED_SERVERS; serial += 1) {
    added.push(
      await deployment.startEngine({
        id: `i-${SERVERS + serial}`,
        version: 'v2',
        empty: true,
        firstMs: FIRST_EVENT_MS,
      }),
    );
  }
  const register = () => Promise.all(added.map((it) => it.register()));
  await sleep(2 * CONTACT_MS);
  const [first, ...others] = deployment.hosts;
  let running = 0;
  const streams = Array.from({length: STREAMS}, (_, index) =>
    readStream(deployment, {
      id: `stream-${index}`,
      path: `/turn/${index}`,
      adapter: `a${1 + (index % ADAPTERS)}`,
      deadlineMs: 20_000,
      retries: 2,
      retryMs: 50 + 700 * Math.random(),
      hostOf: (serial) =>
        serial === 0 ? first : others[(index + serial) % others.length],
      onEvent: (event) => {
        running += event === 3 ? 1 : 0;
      },
    }),
  );
  // Some may be refused in the rush, before they begin.
  const until = Date.now() + 6_000;
  while (running < STREAMS && Date.now() < until) {
    await sleep(20);
  }
  if (TROUBLE) {
    deployment.signalHost(first, 'SIGKILL');
    const killedAt = Date.now();
    const waitUntil = (afterMs) =>
      sleep(Math.max(0, killedAt + afterMs - Date.now()));
    await waitUntil(ADDED_AFTER_MS);
    const registered = register();
    await waitUntil(DARK_AFTER_MS);
    const old = deployment.engines.filter(({version}) => version === 'v1');
    const takenUp = ({runs}) => runs.filter(({from}) => from > 1).length;
    const [lost] = old.sort((one, other) => takenUp(other) - takenUp(one));
    deployment.signalEngine(lost, 'SIGSTOP');
    await sleep(DARK_MS);
    deployment.signalEngine(lost, 'SIGKILL');
    await registered;
  } else {
    await register();
  }
  return Promise.all(streams);
};

const judge = (streams) => {
  const versionsOf = ({events}) => [
    ...new Set(events.map(({by}) => by.split(' ')[0])),
  ];
  const joined = streams.filter((stream) => versionsOf(stream).length > 1);
  const takenUp = streams.filter(({tries}) => tries.some((it) => it.takesUp));
  const broken = joined.length > 2;
  return {
    broken,
    verdict: [
      `streams: ${streams.length}, taken up again by their clients: ${takenUp.length}`,
      `streams that hold events from servers of two software versions: ${joined.length}`,
      ...joined.map(
        ({id, tries}) =>
          `  ${id}: ${tries.map((it) => `${it.id}: ${[...new Set(it.events.map(({by}) => by))].join(' then ') || 'no event'}`).join('; ')}`,
      ),
      broken ? 'ORDER is broken' : 'ORDER holds',
    ],
  };
};

const deployment = new Deployment();
let code = 2;
let verdict = ['the case could not run'];
try {
  const result = judge(await run(deployment));
  ({verdict} = result);
  code = result.broken ? BROKEN : 0;
} catch (error) {
  verdict.push(String(error.stack));
}
deployment.stop(join(HERE, 'record.txt'), verdict);
process.stdout.write(`${verdict.join('\n')}\n`);
process.exit(code);
