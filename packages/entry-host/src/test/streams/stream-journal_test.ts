import {storeRevision, type StreamRecord} from '@basilworks/dispatch';
import test from 'ava';
import {okAsync} from 'neverthrow';

import type {EntryHostContext} from '../../context.js';
import {StreamJournal} from '../../streams/stream-journal.js';
import {FleetSimulation} from '../views/fleet-simulation.js';

// Guards against streams that nobody takes up after a kill of all hosts: a store
// that was restored has lost their origins, and they were not saved again.
test('a journal is saved again in a restored store', async (t) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const saved: StreamRecord[] = [];
  const context = {
    ...hostContext,
    platform: {
      store: {
        loadStreams: () => okAsync([]),
        saveStreams: (record: StreamRecord) => {
          saved.push(record);
          return okAsync(undefined);
        },
      },
    },
  } as unknown as EntryHostContext;
  const journal = new StreamJournal(
    context,
    () => true,
    () => undefined,
  );
  journal.start();
  await journal.load();
  journal.recordBegan({requestId: 'r1', softwareVersion: 'v1'});
  const second = () => fleet.time.advance(fleet.time.nowMs + 1_000);
  await second();
  t.is(saved.length, 1, 'saved once while nothing changes');
  const at = context.clock.now();
  const revision = storeRevision(1, 5) ?? 0;
  context.views.update({kind: 'records', revision, items: []}, at, at);
  await second();
  t.is(saved.length, 2);
  t.deepEqual(saved[1]?.streams, [['r1', 'v1']]);
  fleet.close();
});
