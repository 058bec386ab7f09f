import test from 'ava';

import {StoreViews, storeRevision} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});
const snapshot = (revision: number) => ({
  kind: 'records' as const,
  revision,
  items: [],
});

test('a view never reverts to an older snapshot', (t) => {
  const views = new StoreViews();
  t.true(views.update(snapshot(5), at(0), at(10)));
  t.false(views.update(snapshot(4), at(100), at(110)));
  t.is(views.revision('records'), 5);
  t.is(views.ageMs('records', at(200)), 200);
});

test('an older confirmation never makes a view fresher', (t) => {
  const views = new StoreViews();
  views.update(snapshot(5), at(100), at(100));
  views.confirm('records', 5, at(50), at(200));
  t.is(views.ageMs('records', at(200)), 100);
  views.confirm('records', 4, at(180), at(200));
  t.is(views.ageMs('records', at(200)), 100);
  views.confirm('records', 5, at(180), at(200));
  t.is(views.ageMs('records', at(200)), 20);
});

test('only a period without a read by any host is an outage', (t) => {
  const views = new StoreViews();
  const endedAt = () => views.get('records')?.outageEndedAt;
  views.update(snapshot(5), at(0), at(0));
  views.confirm('records', 5, at(1_900), at(1_950));
  views.update(snapshot(6), at(3_800), at(3_900));
  t.is(endedAt(), undefined);
  views.confirm('records', 6, at(5_900), at(6_000));
  t.deepEqual(endedAt(), at(6_000));
  views.update(snapshot(7), at(6_500), at(6_600));
  t.deepEqual(endedAt(), at(6_000));
});

// Guards against a wall clock step that counts as a store outage: the host then
// keeps entries of removed servers.
test('a wall clock step is not a store outage', (t) => {
  const views = new StoreViews();
  views.update(snapshot(5), at(0), at(0));
  const stepped = {monotonicMs: 500, wallMs: 5_500};
  views.confirm('records', 5, stepped, stepped);
  t.is(views.get('records')?.outageEndedAt, undefined);
  t.is(views.ageMs('records', stepped), 0);
});

const inEra = (era: number, counter: number): number =>
  storeRevision(era, counter) ?? 0;

// Guards against views that outlive a restoration of the store: what was read
// after it had lower revisions and was refused.
test('a view of a restored store replaces that of its earlier era', (t) => {
  const views = new StoreViews();
  views.update(snapshot(inEra(1, 90)), at(0), at(10));
  t.true(views.update(snapshot(inEra(2, 40)), at(500), at(510)));
  t.is(views.ageMs('records', at(600)), 100);
  t.deepEqual(
    views.get('records')?.outageEndedAt,
    at(510),
    'entries written since the copy may be missing',
  );
  t.false(
    views.update(snapshot(inEra(1, 95)), at(505), at(700)),
    'a late answer of the earlier era',
  );
  views.confirm('records', inEra(1, 90), at(690), at(700));
  t.is(views.ageMs('records', at(700)), 200);
});

test('revisions that cannot be represented exactly are none', (t) => {
  t.is(storeRevision(2 ** 40, 0), undefined);
  t.is(storeRevision(0, 2 ** 41), undefined);
  t.is(storeRevision(-1, 5), undefined);
  t.is(storeRevision(NaN, 5), undefined);
});

test('a changed view tells when the one before was last current', (t) => {
  const views = new StoreViews();
  const at = (monotonicMs: number) => ({monotonicMs, wallMs: monotonicMs});
  const kind = 'adapter-versions';
  const changedAfter = () => views.get(kind)?.changedAfter?.monotonicMs;
  views.update({kind, revision: 1, items: []}, at(100), at(110));
  t.is(changedAfter(), undefined);
  views.confirm(kind, 1, at(500), at(510));
  views.update({kind, revision: 2, items: []}, at(900), at(910));
  t.is(changedAfter(), 500);
  views.confirm(kind, 2, at(1_400), at(1_410));
  t.is(changedAfter(), 500);
});

// Guards against entries of removed servers that are kept as if the store had
// been away: the host had missed what others read.
test('an outage is none if another host read meanwhile', (t) => {
  const views = new StoreViews();
  const outageEndedAt = () => views.get('records')?.outageEndedAt;
  views.update(snapshot(5), at(0), at(0));
  t.true(views.update(snapshot(6), at(2_100), at(3_000)));
  t.deepEqual(outageEndedAt(), at(3_000));
  // A host that read before, and one that did after, don't show it.
  t.false(views.confirm('records', 6, at(3_500), at(3_600), at(2_200)));
  t.false(views.confirm('records', 6, at(90), at(3_600), at(-5_000)));
  t.deepEqual(outageEndedAt(), at(3_000));
  t.true(views.confirm('records', 6, at(2_900), at(3_600), at(-5_000)));
  t.is(outageEndedAt(), undefined);
  t.deepEqual(views.get('records')?.freshAt, at(3_500));
  t.deepEqual(views.get('records')?.steadySince, at(-5_000));
});

test('a view that comes with its steady reads ends no outage', (t) => {
  const views = new StoreViews();
  views.update(snapshot(5), at(0), at(0));
  views.update(snapshot(6), at(9_000), at(9_100), at(1_500));
  t.is(views.get('records')?.outageEndedAt, undefined);
  t.deepEqual(views.get('records')?.steadySince, at(0));
  views.update(snapshot(7), at(13_000), at(13_100), at(12_000));
  t.deepEqual(views.get('records')?.outageEndedAt, at(13_100));
  t.deepEqual(views.get('records')?.steadySince, at(12_000));
});

test('the restoration of a store is an outage whatever others read', (t) => {
  const views = new StoreViews();
  views.update(snapshot(inEra(1, 90)), at(0), at(0));
  views.update(snapshot(inEra(2, 40)), at(500), at(510));
  views.confirm('records', inEra(2, 40), at(900), at(910), at(-9_000));
  t.deepEqual(views.get('records')?.outageEndedAt, at(510));
});
