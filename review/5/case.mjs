// A server spoils some of its answers: a long run of blanks stands in a header.
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
const SPOILED_SHARE = 0.02;
const BLANKS = 60_000;
/** How often the disruption comes, for how long, and the pause after it. */
const OCCURRENCES = {count: 3, forMs: 5_500, pauseMs: 6_000};
/** Of the site's brine-dose. */
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1_500;
const LATE_MS = 500;

await runCase(import.meta.url, async ({record, folder, trouble, own}) => {
  const store = own(new Store());
  const storeAddress = await store.listen('127.0.0.1');
  const service = 'cellar-ops';
  let spoiledAnswers = 0;
  let disrupted = false;
  // Only one of three servers is faulty.
  const spoil = (run, response) => {
    if (!disrupted || Math.random() >= SPOILED_SHARE) {
      return false;
    }
    spoiledAnswers += 1;
    record.add(`${run.server} spoils its answer to ${run.id}`);
    response.socket.end(
      'HTTP/1.1 200 OK\r\n' +
        `X-Basilworks-Request-Id: ${run.id}\r\n` +
        `X-Basilworks-Server-Signature: signed${' '.repeat(BLANKS)}.\r\n` +
        'Content-Length: 2\r\n\r\nok',
    );
    return true;
  };
  const servers = [];
  for (let index = 0; index < 3; index += 1) {
    const server = own(
      new AppServer({
        id: `s-${index}`,
        service,
        zone: `zone-${index}`,
        record,
        spoil: index === 0 ? spoil : undefined,
      }),
    );
    await server.listen();
    server.register(store);
    servers.push(server);
  }
  const dose = {routeType: 'non_idempotent', timeoutMs: TIMEOUT_MS};
  store.put(
    'config',
    'main',
    configuration(7, [['brine-dose', service, dose]], [[service]]),
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
  const caller = async (index) => {
    let agent = keptAgent();
    let target = index;
    while (!ended) {
      const host = hosts[target % hosts.length];
      const path = `/brine-dose/${index}`;
      const options = {agent, path, deadlineMs: DEADLINE_MS};
      const result = await send(host, options);
      results.push(result);
      const {id, status, sentMs, endMs: answeredMs, error = ''} = result;
      record.add(
        `caller-${index} ${id} at ${host.name} sent ${sentMs}: ${status} ` +
          `${error} after ${answeredMs - sentMs} ms`,
      );
      if (status === 0) {
        agent.destroy();
        agent = keptAgent();
        target += 1;
      }
      await sleep(20);
    }
    agent.destroy();
  };
  const callers = Array.from({length: CALLERS}, (_unused, index) =>
    caller(index),
  );
  await sleep(4_000);
  await occur(record, trouble, OCCURRENCES, (on) => {
    disrupted = on;
  });
  ended = true;
  await Promise.all(callers);
  // CONFIG: unanswered at the route's time-out, and half a second later.
  const lasted = results.filter(
    ({sentMs, endMs: ended}) => ended - sentMs >= TIMEOUT_MS,
  );
  const unanswered = lasted.filter(
    ({sentMs, endMs: ended, status}) =>
      status === 0 || ended - sentMs > TIMEOUT_MS + LATE_MS,
  );
  const longest = hosts
    .flatMap(({logs}) => logs)
    .flatMap((line) => /"lagMs":(\d+)/.exec(line)?.[1] ?? [])
    .reduce((most, lagMs) => Math.max(most, Number(lagMs)), 0);
  record.add(`requests ${results.length}, answers spoiled ${spoiledAnswers}`);
  record.add(`longest block of an event loop that was logged: ${longest} ms`);
  record.add(
    `CONFIG: of ${lasted.length} requests unanswered at the time-out, ` +
      `${unanswered.length} had no answer ${LATE_MS} ms later`,
  );
  return unanswered.length >= 8 && unanswered.length * 2 > lasted.length;
});
