import {deflateRawSync} from 'node:zlib';

import {StoreViews} from '@basilworks/dispatch';
import test from 'ava';

import {
  applyViews,
  encodeViews,
  SnapshotCache,
} from '../../peers/view-codec.js';

const AT = {monotonicMs: 5_000, wallMs: 5_000};

const viewsWithServers = () => {
  const views = new StoreViews();
  const items = [{name: 's0', revision: 7, value: {zone: 'z'}}];
  views.update({kind: 'servers', revision: 7, items}, AT, AT);
  return views;
};

for (const acceptsDeflate of [true, false]) {
  test(`a peer reads views, compressed: ${acceptsDeflate}`, (t) => {
    const query = {known: [], acceptsDeflate};
    const sent = encodeViews(
      viewsWithServers(),
      query,
      new SnapshotCache(),
      AT,
    );
    t.is(sent[0]?.items === undefined, acceptsDeflate);
    const received = new StoreViews();
    t.deepEqual(applyViews(received, sent, AT, AT), ['servers']);
    t.is(received.get('servers')?.snapshot.items[0]?.name, 's0');
  });
}

test('a view that can’t be decompressed is left out', (t) => {
  const query = {known: [], acceptsDeflate: true};
  const sent = encodeViews(viewsWithServers(), query, new SnapshotCache(), AT);
  const received = new StoreViews();
  const broken = sent.map((view) => ({
    ...view,
    deflatedItems: Buffer.from('broken'),
  }));
  t.deepEqual(applyViews(received, broken, AT, AT), []);
  t.is(received.get('servers'), undefined);
});

// Guards against a view of a peer that is small on the wire and large in memory.
test('a view that exceeds the bound once decompressed is left out', (t) => {
  const query = {known: [], acceptsDeflate: true};
  const sent = encodeViews(viewsWithServers(), query, new SnapshotCache(), AT);
  const received = new StoreViews();
  const items = `[${' '.repeat(20_000_000)}]`;
  const inflated = sent.map((view) => ({
    ...view,
    deflatedItems: deflateRawSync(items),
  }));
  t.deepEqual(applyViews(received, inflated, AT, AT), []);
});
