/**
 * A host is killed. Its clients take their streams up at the other hosts, all at
 * once, and new streams begin there. All model servers have one software
 * version, and nothing else happens.
 */
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {attempt, readStream} from '../lib-2/client.mjs';
import {BROKEN, Deployment, HOST_NAME, SERVICE} from '../lib-2/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';

const HOSTS = Number(process.env.HOSTS ?? 3);
const SERVERS = 4;
const STREAMS = Number(process.env.STREAMS ?? 30);
const ADAPTERS = 8;
/** Retries of a client, as the sheets of all sites say. */
const RETRIES = Number(process.env.RETRIES ?? 1);
/** What `contactMs` is at both users. */
const CONTACT_MS = 3_000;
/** Longest time that a client needs to connect anew. */
const RECONNECT_MS = Number(process.env.RECONNECT_MS ?? 20);

const ROUTE = {
  name: 'turn-advice',
  host: HOST_NAME,
  pathPrefix: '/turn/',
  routeType: 'stream',
  canResume: true,
  timeoutMs: 8_000,
  targetLatencyMs: 1_000,
  gapAimMs: 400,
  priority: 0,
  maxAttempts: 2,
  sticky: true,
  service: SERVICE,
};

const run = async (deployment) => {
  await deployment.start({
    hosts: HOSTS,
    engines: SERVERS,
    routes: [ROUTE],
    engine: {events: 17, eventMs: 200},
  });
  await sleep(2 * CONTACT_MS);
  const [first, ...others] = deployment.hosts;
  const other = (index) => others[index % others.length];
  let running = 0;
  const streams = Array.from({length: STREAMS}, (_, index) =>
    readStream(deployment, {
      id: `stream-${index}`,
      path: `/turn/${index}`,
      adapter: `a${1 + (index % ADAPTERS)}`,
      deadlineMs: 8_000,
      retries: RETRIES,
      retryMs: RECONNECT_MS * Math.random(),
      hostOf: (serial) => (serial === 0 ? first : other(index + serial)),
      onEvent: (event) => {
        running += event === 3 ? 1 : 0;
      },
    }),
  );
  while (running < STREAMS) {
    await sleep(20);
  }
  if (TROUBLE) {
    deployment.signalHost(first, 'SIGKILL');
  }
  // New streams at the same machines at the same time.
  const begun = await Promise.all(
    Array.from({length: STREAMS}, async (_, index) => {
      await sleep(RECONNECT_MS * Math.random());
      return attempt(deployment, other(index), {
        id: `new-${index}`,
        path: `/turn/new/${index}`,
        adapter: `a${1 + (index % ADAPTERS)}`,
        deadlineMs: 8_000,
      });
    }),
  );
  return {streams: await Promise.all(streams), begun};
};

const share = (part, all) => (all === 0 ? 1 : part / all);

const judge = ({streams, begun}) => {
  const takenUp = streams.filter(({tries}) => tries.some((it) => it.takesUp));
  const goesOn = takenUp.filter(({tries}) =>
    tries.some((it) => it.takesUp && it.events.length > 0),
  );
  const begins = begun.filter(({events}) => events.length > 0);
  const attempts = takenUp.flatMap(({tries}) =>
    tries.filter((it) => it.takesUp),
  );
  const refused = attempts.filter(({status}) => status === 503).length;
  const broken =
    takenUp.length >= 12 &&
    share(goesOn.length, takenUp.length) <
      share(begins.length, begun.length) / 2;
  return {
    broken,
    verdict: [
      `streams that clients took up again: ${takenUp.length}, in ${attempts.length} tries, of which ${refused} got 503`,
      `of these streams went on: ${goesOn.length}`,
      `new streams sent to the same machines at that time: ${begun.length}, of which began: ${begins.length}`,
      `servers of their software version that served all the while: ${SERVERS}`,
      broken ? 'LOST is broken' : 'LOST holds',
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
