import test from 'ava';

import {
  deploy,
  LEAVING_BOUND_MS,
  senders,
  SERVERS,
} from './seven-host-fleet.js';

// Requests reached a server that was gone because a host that had been turned
// away by the store came back and told all others of an outage of the store.
test('a host that was turned away does not make others keep a server that is gone', async (t) => {
  for (let index = 0; index < 40; index += 1) {
    const fleet = await deploy();
    const [reader = ''] = fleet.readers();
    const awayMs = 2_300 + index * 111;
    const backMs = 250 + ((index * 173) % 2_600);
    fleet.host(reader).storeConnection.fault = 'refuse';
    await fleet.time.advance(fleet.time.nowMs + awayMs);
    fleet.host(reader).storeConnection.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + backMs);
    fleet.store.remove('servers', 's1');
    await fleet.time.advance(fleet.time.nowMs + LEAVING_BOUND_MS);
    t.deepEqual(
      senders(fleet, 's1').filter((host) => host !== reader),
      [],
      `away for ${awayMs} ms, back for ${backMs} ms`,
    );
    fleet.close();
  }
});

// Requests reached a server that was gone because its entry was kept for two
// seconds from when each host missed it, however long after the outage.
test('an entry that vanishes after an outage of the store is not kept beyond two seconds of its end', async (t) => {
  for (let afterMs = 1_000; afterMs < 3_500; afterMs += 250) {
    const fleet = await deploy();
    fleet.store.fault = 'silent';
    await fleet.time.advance(fleet.time.nowMs + 5_000);
    fleet.store.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + afterMs);
    fleet.store.remove('servers', 's1');
    // The store counts as stable three seconds after its return.
    const stableInMs = Math.max(0, 3_000 - afterMs);
    await fleet.time.advance(fleet.time.nowMs + stableInMs + LEAVING_BOUND_MS);
    t.deepEqual(senders(fleet, 's1'), [], `gone ${afterMs} ms after the end`);
    fleet.close();
  }
});

test('entries that lapsed in an outage of the store are kept until they are back', async (t) => {
  const fleet = await deploy();
  fleet.store.fault = 'silent';
  await fleet.time.advance(fleet.time.nowMs + 4_000);
  for (const id of SERVERS) {
    fleet.store.remove('servers', id);
  }
  await fleet.time.advance(fleet.time.nowMs + 1_000);
  fleet.store.fault = 'none';
  const returnedMs = fleet.time.nowMs;
  for (let ms = 100; ms <= 1_700; ms += 100) {
    await fleet.time.advance(returnedMs + ms);
    t.is(senders(fleet, 's1').length, fleet.names.length, `${ms} ms after it`);
  }
  for (const id of SERVERS) {
    fleet.putServer(id);
  }
  for (let ms = 1_800; ms <= 6_000; ms += 100) {
    await fleet.time.advance(returnedMs + ms);
    t.is(senders(fleet, 's1').length, fleet.names.length, `${ms} ms after it`);
  }
  fleet.close();
});
