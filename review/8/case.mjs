/**
 * A machine loses power, and is back after 3.5 s. Meanwhile a server of a new
 * software version is added. The clients of that machine take their streams up
 * at the other machines, while four servers of the streams' version serve.
 */
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {attempt, readStream} from '../lib-2/client.mjs';
import {BROKEN, Deployment, HOST_NAME, SERVICE} from '../lib-2/deployment.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';
/** How long the machine is dark: `node_kill`, `how = "power"`. */
const DARK_MS = 3_500;
/** From the loss of power to the entry of the new server. */
const ADDED_AFTER_MS = Number(process.env.ADDED_AFTER_MS ?? 1_500);

const STREAMS = 24;
const NEW_STREAMS = 24;
const ADAPTERS = 8;
/** What `contactMs` is at both users. */
const CONTACT_MS = 3_000;

const ROUTE = {
  name: 'clerk-chat',
  host: HOST_NAME,
  pathPrefix: '/clerk/',
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
  await deployment.start({hosts: 3, engines: 4, routes: [ROUTE]});
  const next = await deployment.startEngine({
    id: 'i-5',
    version: 'v2',
    empty: true,
  });
  await sleep(2 * CONTACT_MS);
  const [first, ...others] = deployment.hosts;
  let running = 0;
  const streams = Array.from({length: STREAMS}, (_, index) =>
    readStream(deployment, {
      id: `stream-${index}`,
      path: `/clerk/${index}`,
      adapter: `a${1 + (index % ADAPTERS)}`,
      deadlineMs: 20_000,
      retries: 4,
      retryMs: 150,
      hostOf: (serial) =>
        serial === 0 || !TROUBLE ? first : others[(index + serial) % 2],
      onEvent: (event) => {
        running += event === 3 ? 1 : 0;
      },
    }),
  );
  while (running < STREAMS) {
    await sleep(20);
  }
  if (TROUBLE) {
    deployment.signalHost(first, 'SIGSTOP');
  }
  await sleep(ADDED_AFTER_MS);
  await next.register();
  deployment.note('server  i-5 of version v2 has registered');
  await sleep(DARK_MS - ADDED_AFTER_MS);
  if (TROUBLE) {
    deployment.signalHost(first, 'SIGKILL');
    deployment.restartHost(first);
  }
  // New streams at the same machines, while clients take theirs up.
  const begun = await Promise.all(
    Array.from({length: NEW_STREAMS}, async (_, index) => {
      await sleep(100 * index);
      return attempt(deployment, others[index % 2], {
        id: `new-${index}`,
        path: `/clerk/new/${index}`,
        adapter: `a${1 + (index % ADAPTERS)}`,
        deadlineMs: 20_000,
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
  const newShare = share(begins.length, begun.length);
  const ownShare = share(goesOn.length, takenUp.length);
  const broken = takenUp.length >= 12 && ownShare < newShare / 2;
  const attempts = takenUp.flatMap(({tries}) =>
    tries.filter((it) => it.takesUp),
  );
  const refused = attempts.filter(({status}) => status === 503).length;
  return {
    broken,
    verdict: [
      `streams that clients took up again: ${takenUp.length}, in ${attempts.length} tries, of which ${refused} got 503`,
      `of these streams went on: ${goesOn.length}`,
      `new streams sent to the same machines: ${begun.length}, of which began: ${begins.length}`,
      `servers of version v1 that served all the while: 4`,
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
