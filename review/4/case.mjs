// Some streams of a server go on without end and without an event's end, in
// small chunks, until the caller closes.
import {Buffer} from 'node:buffer';

import {
  allReady,
  AppServer,
  configuration,
  Host,
  keptAgent,
  occur,
  runCase,
  send,
  sleep,
} from '../lib/rig.mjs';
import {Store} from '../lib/store.mjs';

const CALLERS = 12;
const STREAM_CALLERS = 12;
const ENDLESS_SHARE = 0.05;
/** How often the disruption comes, for how long, and the pause after it. */
const OCCURRENCES = {count: 8, forMs: 5_000, pauseMs: 4_000};
/** Of the site's brine-dose. */
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1_500;
const LATE_MS = 500;
/** Of the site's turn-advice: 17 events, target 1,000 ms, pauses 400 ms. */
const EVENTS = 17;
const EVENT_MS = 25;
const ABANDON_MS = 4_000;

const CHUNK = '8\r\nxxxxxxxx\r\n';
const CHUNKS = Buffer.from(CHUNK.repeat(4_000));

/** A server of streams. */
class StreamServer extends AppServer {
  async respond(run, response, headers) {
    const {socket} = response;
    if (this.isEndless?.() === true) {
      this.record.add(`${this.id} answers ${run.id} without end`);
      socket.write(
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n' +
          Object.entries(headers)
            .map(([name, value]) => `${name}: ${value}\r\n`)
            .join('') +
          '\r\n',
      );
      const write = () => {
        while (!socket.destroyed && socket.write(CHUNKS)) {
          // Goes on until the connection takes no more for now.
        }
      };
      socket.on('drain', write);
      write();
      return;
    }
    response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
    for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: event ${id} of ${run.id}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  }
}

await runCase(import.meta.url, async ({record, folder, trouble, own}) => {
  const store = own(new Store());
  const storeAddress = await store.listen('127.0.0.1');
  let endless = 0;
  let disrupted = false;
  const start = async (server) => {
    await server.listen();
    server.register(store);
    return own(server);
  };
  for (let index = 0; index < 3; index += 1) {
    const zone = `zone-${index}`;
    await start(
      new AppServer({id: `p-${index}`, service: 'cellar-ops', zone, record}),
    );
    const service = 'advisor';
    const options = {id: `s-${index}`, service, zone, record, slots: 64};
    const server = await start(new StreamServer({...options, workMs: 20}));
    // Only one of three servers is faulty.
    server.isEndless = () => {
      const chosen = disrupted && index === 0 && Math.random() < ENDLESS_SHARE;
      endless += chosen ? 1 : 0;
      return chosen;
    };
  }
  const dose = {routeType: 'non_idempotent', timeoutMs: TIMEOUT_MS};
  const advice = {
    routeType: 'stream',
    canResume: true,
    maxAttempts: 2,
    timeoutMs: 8_000,
    targetLatencyMs: 1_000,
    gapAimMs: 400,
    priority: 0,
  };
  store.put(
    'config',
    'main',
    configuration(
      7,
      [
        ['brine-dose', 'cellar-ops', dose],
        ['turn-advice', 'advisor', advice],
      ],
      [['cellar-ops'], ['advisor']],
    ),
  );
  const hosts = [];
  for (let index = 0; index < 3; index += 1) {
    const host = own(new Host(index, folder, record));
    await host.prepare();
    hosts.push(host);
  }
  const seeds = hosts.map((host) => host.address('peer'));
  for (const host of hosts) {
    host.start({storeAddress, seeds});
  }
  if (!(await allReady(hosts))) {
    return undefined;
  }
  await sleep(5_000);
  record.add('traffic starts');
  let ended = false;
  const results = [];
  const caller = async (index, route, options, pauseMs) => {
    let agent = keptAgent();
    let target = index;
    while (!ended) {
      const host = hosts[target % hosts.length];
      const path = `/${route}/${index}`;
      const result = await send(host, {agent, path, ...options});
      results.push({...result, route});
      const {id, status, sentMs, endMs: answeredMs, error = ''} = result;
      record.add(
        `${route} ${index} ${id} at ${host.name} sent ${sentMs}: ${status} ` +
          `${error} after ${answeredMs - sentMs} ms`,
      );
      if (status === 0) {
        agent.destroy();
        agent = keptAgent();
        target += 1;
      }
      await sleep(pauseMs);
    }
    agent.destroy();
  };
  const callers = [];
  for (let index = 0; index < CALLERS; index += 1) {
    const options = {deadlineMs: DEADLINE_MS};
    callers.push(caller(index, 'brine-dose', options, 100));
  }
  for (let index = 0; index < STREAM_CALLERS; index += 1) {
    const options = {deadlineMs: 8_000, abandonMs: ABANDON_MS};
    callers.push(caller(index, 'turn-advice', options, 100));
  }
  await sleep(4_000);
  await occur(record, trouble, OCCURRENCES, (on) => {
    disrupted = on;
  });
  ended = true;
  await Promise.all(callers);
  // CONFIG: unanswered at the route's time-out, and half a second later.
  const lasted = results.filter(
    ({route, sentMs, endMs: ended}) =>
      route === 'brine-dose' && ended - sentMs >= TIMEOUT_MS,
  );
  const unanswered = lasted.filter(
    ({sentMs, endMs: ended, status}) =>
      status === 0 || ended - sentMs > TIMEOUT_MS + LATE_MS,
  );
  const lags = hosts
    .flatMap(({logs}) => logs)
    .flatMap((line) => /"lagMs":(\d+)/.exec(line)?.[1] ?? [])
    .map(Number);
  const doses = results.filter(({route}) => route === 'brine-dose').length;
  record.add(`doses ${doses}, streams ${results.length - doses}`);
  record.add(`streams without end ${endless}`);
  record.add(
    `blocks logged ${lags.length}, longest ${Math.max(0, ...lags)} ms`,
  );
  record.add(
    `CONFIG: of ${lasted.length} doses unanswered at the time-out, ` +
      `${unanswered.length} had no answer ${LATE_MS} ms later`,
  );
  return unanswered.length >= 8 && unanswered.length * 2 > lasted.length;
});
