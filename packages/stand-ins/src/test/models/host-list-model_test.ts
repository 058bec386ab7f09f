import test from 'ava';

import {HostListModel} from '../../models/host-list-model.js';
import {VirtualScheduler} from '../../models/scheduler.js';

test('changes become visible after the lag, in order', (t) => {
  const scheduler = new VirtualScheduler();
  const list = new HostListModel(scheduler, 100);
  list.putHost({
    host: 'entry-1',
    zone: 'fairhaven',
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    state: 'live',
  });
  scheduler.runUntil(50);
  list.setHostState('entry-1', 'leaving');
  t.deepEqual(list.read().entryHosts, []);
  scheduler.runUntil(100);
  t.is(list.read().entryHosts[0]?.state, 'live');
  scheduler.runUntil(150);
  t.is(list.read().entryHosts[0]?.state, 'leaving');
  list.removeHost('entry-1');
  scheduler.runUntil(250);
  t.deepEqual(list.read().entryHosts, []);
});
