// The store comes back from a copy some seconds old; the operator then moves
// a route to another service.
import {
  allReady,
  AppServer,
  configuration,
  Host,
  keptAgent,
  nowMs,
  runCase,
  send,
  sleep,
} from '../lib/rig.mjs';
import {Store} from '../lib/store.mjs';

const CALLERS = 6;
/** Age of the copy, and how long the store is away. */
const COPY_AGE_MS = 6_000;
const AWAY_MS = 1_000;
/** `contactMs` and `configApplyMs` of the pages. */
const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const WATCHED_MS = 25_000;

const routes = (service, timeoutMs) => [
  ['topup', service, {routeType: 'non_idempotent', timeoutMs}],
];
const services = [['billing-old'], ['billing-new']];

await runCase(import.meta.url, async ({record, folder, trouble, own}) => {
  const store = own(new Store());
  const storeAddress = await store.listen('127.0.0.1');
  const servers = [];
  for (let index = 0; index < 6; index += 1) {
    const service = index < 3 ? 'billing-old' : 'billing-new';
    const zone = `zone-${index % 3}`;
    const server = own(
      new AppServer({id: `s-${index}`, service, zone, record}),
    );
    await server.listen();
    server.register(store, () => !store.away);
    servers.push(server);
    await sleep(200);
  }
  const configure = (version, service, timeoutMs) => {
    const spec = configuration(version, routes(service, timeoutMs), services);
    store.put('config', 'main', spec);
    record.add(`operator: version ${version} acknowledged, ${service}`);
    return spec;
  };
  configure(7, 'billing-old', 800);
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
  await sleep(8_000);
  record.add('traffic starts');
  let ended = false;
  const caller = async (index) => {
    const agent = keptAgent();
    const host = hosts[index % hosts.length];
    while (!ended) {
      const result = await send(host, {agent, path: `/topup/${index}`});
      record.add(
        `caller-${index} ${result.id} at ${host.name} sent ${result.sentMs}: ` +
          `${result.status} ${result.text ?? result.error ?? ''}`,
      );
      results.push(result);
      await sleep(100);
    }
    agent.destroy();
  };
  const results = [];
  const callers = Array.from({length: CALLERS}, (_unused, index) =>
    caller(index),
  );
  await sleep(1_000);
  const copy = store.copy();
  record.add(`the store is copied at revision ${copy.revision}`);
  await sleep(COPY_AGE_MS - 1_000);
  // An ordinary change: a longer time-out. It is not in the copy.
  const latest = configure(8, 'billing-old', 850);
  await sleep(1_000);
  if (trouble) {
    record.add(`the store goes away at revision ${store.revision}`);
    store.away = true;
    store.cutConnections();
    await sleep(AWAY_MS);
    store.restore(copy);
    store.away = false;
    record.add(`the store is back at revision ${store.revision}`);
    // What the operator and the servers wrote is written again.
    store.put('config', 'main', latest);
    for (const server of servers) {
      server.beat();
    }
  } else {
    await sleep(AWAY_MS);
  }
  await sleep(CONTACT_MS + 500);
  configure(9, 'billing-new', 850);
  const acknowledgedMs = nowMs();
  await sleep(WATCHED_MS);
  ended = true;
  await Promise.all(callers);
  const ranAt = new Map(
    servers.flatMap(({service, runs}) => runs.map(({id}) => [id, service])),
  );
  const late = results.filter(
    ({sentMs}) => sentMs > acknowledgedMs + CONFIG_APPLY_MS,
  );
  const old = late.filter(({id}) => ranAt.get(id) === 'billing-old');
  record.add(`requests ${results.length}, sent after the bound ${late.length}`);
  const last = Math.max(0, ...old.map(({sentMs}) => sentMs - acknowledgedMs));
  record.add(`CONFIG: ${old.length} of them run by the old service`);
  record.add(`the last was sent ${last} ms after the acknowledgement`);
  return old.length > 0;
});
