import test from 'ava';

import {
  startSevenHostFleet,
  hostsExcept,
  LEAVING_BOUND_MS,
  hostsSendingTo,
  SERVER_IDS,
} from './seven-host-fleet.js';

// Guards against requests to a removed server: a host that the store had
// refused reported an outage of the store to all others once it was served
// again, so they kept the entry.
test('a host that the store refused does not make others keep a removed server', async (t) => {
  for (let index = 0; index < 40; index += 1) {
    const fleet = await startSevenHostFleet();
    const [reader = ''] = fleet.readers();
    const refusedMs = 2_300 + index * 111;
    const restoredMs = 250 + ((index * 173) % 2_600);
    fleet.host(reader).storeConnection.fault = 'refuse';
    await fleet.time.advance(fleet.time.nowMs + refusedMs);
    fleet.host(reader).storeConnection.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + restoredMs);
    fleet.store.remove('servers', 's1');
    await fleet.time.advance(fleet.time.nowMs + LEAVING_BOUND_MS);
    t.deepEqual(
      hostsSendingTo(fleet, 's1').filter((host) => host !== reader),
      [],
      `refused for ${refusedMs} ms, served for ${restoredMs} ms`,
    );
    fleet.close();
  }
});

// Guards against requests to a removed server: after an outage of the store,
// its entry was kept for two seconds from when each host noticed the removal,
// however long after the outage that was.
test('an entry removed after an outage of the store is kept for at most two seconds from when the store is stable', async (t) => {
  for (let afterMs = 1_000; afterMs < 3_500; afterMs += 250) {
    const fleet = await startSevenHostFleet();
    fleet.store.fault = 'silent';
    await fleet.time.advance(fleet.time.nowMs + 5_000);
    fleet.store.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + afterMs);
    fleet.store.remove('servers', 's1');
    // The store counts as stable three seconds after the end of the outage.
    const stableInMs = Math.max(0, 3_000 - afterMs);
    await fleet.time.advance(fleet.time.nowMs + stableInMs + LEAVING_BOUND_MS);
    t.deepEqual(
      hostsSendingTo(fleet, 's1'),
      [],
      `removed ${afterMs} ms after the end of the outage`,
    );
    fleet.close();
  }
});

test('entries that expire in an outage of the store are kept until they are rewritten', async (t) => {
  const fleet = await startSevenHostFleet();
  fleet.store.fault = 'silent';
  await fleet.time.advance(fleet.time.nowMs + 4_000);
  for (const id of SERVER_IDS) {
    fleet.store.remove('servers', id);
  }
  await fleet.time.advance(fleet.time.nowMs + 1_000);
  fleet.store.fault = 'none';
  const recoveredMs = fleet.time.nowMs;
  for (let ms = 100; ms <= 1_700; ms += 100) {
    await fleet.time.advance(recoveredMs + ms);
    t.is(
      hostsSendingTo(fleet, 's1').length,
      fleet.names.length,
      `${ms} ms after the end of the outage`,
    );
  }
  for (const id of SERVER_IDS) {
    fleet.putServer(id);
  }
  for (let ms = 1_800; ms <= 6_000; ms += 100) {
    await fleet.time.advance(recoveredMs + ms);
    t.is(
      hostsSendingTo(fleet, 's1').length,
      fleet.names.length,
      `${ms} ms after the end of the outage`,
    );
  }
  fleet.close();
});

// Guards against requests to a removed server: a host that had read nothing for
// two seconds, while others did, took that for an outage of the store.
test('a host that missed the reads of others keeps no removed server', async (t) => {
  for (let missedMs = 2_100; missedMs <= 2_900; missedMs += 200) {
    const fleet = await startSevenHostFleet();
    const host = fleet.host(hostsExcept(fleet, fleet.readers())[0] ?? '');
    host.partitioned = true;
    host.storeConnection.fault = 'silent';
    await fleet.time.advance(fleet.time.nowMs + missedMs);
    fleet.store.remove('servers', 's1');
    host.storeConnection.fault = 'none';
    await fleet.time.advance(fleet.time.nowMs + 900);
    host.partitioned = false;
    await fleet.time.advance(fleet.time.nowMs + LEAVING_BOUND_MS - 900);
    t.deepEqual(hostsSendingTo(fleet, 's1'), [], `missed ${missedMs} ms`);
    fleet.close();
  }
});
