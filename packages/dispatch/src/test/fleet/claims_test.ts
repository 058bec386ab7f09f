import test from 'ava';

import {
  CLAIM_VALIDITY_MS,
  type ClaimRecord,
  type ClaimReview,
  firstFence,
  mayIssueOrders,
  reviewClaims,
  UNKNOWN_HOLDER,
} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

const candidates = (...names: string[]) =>
  names.map((name) => ({name, weight: 1}));

const claim = (
  host: string,
  extra: Partial<ClaimRecord> = {},
): ClaimRecord => ({
  type: 'claim',
  server: 's1',
  host,
  fence: 4,
  ...extra,
});

const review = (extra: Partial<ClaimReview>): ClaimReview => ({
  at: at(0),
  self: 'me',
  live: candidates('me'),
  servers: ['s1'],
  claims: new Map(),
  completedTakeovers: new Set(),
  cutMs: () => 0,
  minorityMs: 0,
  unreachableMs: () => 0,
  era: 0,
  eraMs: 60_000,
  heldBefore: new Map(),
  ...extra,
});

test('a server without a claim gets one that is valid at once', (t) => {
  const [change] = reviewClaims(review({}));
  t.like(change, {
    expectedRevision: undefined,
    record: {host: 'me', fence: 1, takenFrom: undefined},
  });
});

test('a claim stays with a holder that is live or only briefly unreachable', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  t.deepEqual(
    reviewClaims(review({claims, live: candidates('me', 'other')})),
    [],
  );
  t.deepEqual(reviewClaims(review({claims, unreachableMs: () => 4_000})), []);
});

test('a claim of a failed host is taken over with a higher fence', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  const [change] = reviewClaims(review({claims, unreachableMs: () => 6_000}));
  t.like(change, {
    expectedRevision: 7,
    record: {host: 'me', fence: 5, takenFrom: 'other'},
  });
});

test('a claim of a host that is cut from all servers is taken over, but not at once', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  const live = candidates('me', 'other');
  const cutFor = (milliseconds: number) =>
    review({
      claims,
      live,
      cutMs: (host) => (host === 'other' ? milliseconds : 0),
    });
  t.deepEqual(reviewClaims(cutFor(1_500)), []);
  const [change] = reviewClaims(cutFor(2_500));
  t.like(change, {record: {host: 'me', fence: 5, takenFrom: 'other'}});
});

test('a host that is cut from all servers takes no claims', (t) => {
  const live = candidates('me', 'other');
  const cutMs = (host: string) => (host === 'me' ? 1 : 0);
  t.deepEqual(reviewClaims(review({live, cutMs})), []);
  // Nobody is left to take them where all are cut.
  t.deepEqual(reviewClaims(review({live, cutMs: () => 1})), []);
});

// Guards against claims that stay with a host which reaches other servers, but
// not the one that it issues orders to.
test('only the claim on a server that its holder does not reach is taken over', (t) => {
  const claims = new Map(
    ['s1', 's2'].map((server) => [
      server,
      {record: claim('other', {server}), revision: 7},
    ]),
  );
  const changes = reviewClaims(
    review({
      claims,
      live: candidates('me', 'other'),
      servers: ['s1', 's2'],
      cutMs: (host, server) =>
        host === 'other' && server === 's2' ? 2_500 : 0,
    }),
  );
  t.deepEqual(
    changes.map(({record}) => record.server),
    ['s2'],
  );
});

test('a host takes no claim on a server that it does not reach', (t) => {
  const changes = reviewClaims(
    review({
      live: candidates('me', 'other'),
      servers: ['s1'],
      cutMs: (host, server) => (host === 'me' && server === 's1' ? 1 : 0),
    }),
  );
  t.deepEqual(changes, []);
});

test('a partitioned host takes over no claims', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  const partitioned = review({
    claims,
    unreachableMs: () => 6_000,
    minorityMs: 5_000,
  });
  t.deepEqual(reviewClaims(partitioned), []);
});

test('orders need a recent read that shows the claim', (t) => {
  const held = {
    record: claim('me'),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  const conditions = {orderLeaseMs: 3_000, at: at(60_000)};
  t.true(mayIssueOrders(held, {...conditions, claimsAgeMs: 7_000}));
  t.false(
    mayIssueOrders(held, {...conditions, claimsAgeMs: CLAIM_VALIDITY_MS}),
  );
});

test('orders are issued through a store outage of nine seconds', (t) => {
  const held = {
    record: claim('me'),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  // A relayed read is up to 2.5 s old when the outage begins.
  const claimsAgeMs = 2_500 + 9_000;
  t.true(
    mayIssueOrders(held, {orderLeaseMs: 3_000, claimsAgeMs, at: at(60_000)}),
  );
});

test('a takeover completes after the claim of the previous holder has expired', (t) => {
  const held = {
    record: claim('me', {takenFrom: 'other'}),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  const conditions = {claimsAgeMs: 0, orderLeaseMs: 3_000};
  const waitMs = CLAIM_VALIDITY_MS + 3_000;
  t.false(mayIssueOrders(held, {...conditions, at: at(waitMs)}));
  t.true(mayIssueOrders(held, {...conditions, at: at(waitMs + 1_000)}));
});

test('a takeover completes sooner once the previous holder confirmed it', (t) => {
  const held = {
    record: claim('me', {takenFrom: 'other'}),
    heldSince: at(0),
    yieldConfirmedAt: at(1_000),
  };
  const conditions = {claimsAgeMs: 0, orderLeaseMs: 3_000};
  t.false(mayIssueOrders(held, {...conditions, at: at(4_000)}));
  t.true(mayIssueOrders(held, {...conditions, at: at(4_600)}));
});

test('a completed takeover clears the previous holder from the claim', (t) => {
  const record = claim('me', {takenFrom: 'other'});
  const claims = new Map([['s1', {record, revision: 7}]]);
  const [change] = reviewClaims(
    review({claims, completedTakeovers: new Set(['s1'])}),
  );
  t.like(change, {
    expectedRevision: 7,
    record: {fence: 4, takenFrom: undefined},
  });
});

// Guards against two holders with one fencing number: a store that is restored
// from an older copy has forgotten the latest claims and their numbers.
test('a host writes the claims again that a restored store has forgotten', (t) => {
  const heldBefore = new Map([['s1', claim('me', {fence: 7})]]);
  const [created] = reviewClaims(review({era: 1, eraMs: 0, heldBefore}));
  t.like(created, {
    expectedRevision: undefined,
    record: {host: 'me', fence: firstFence(1), takenFrom: undefined},
  });
  const claims = new Map([['s1', {record: claim('other'), revision: 9}]]);
  const [replaced] = reviewClaims(
    review({era: 1, eraMs: 0, heldBefore, claims}),
  );
  t.like(replaced, {expectedRevision: 9, record: {host: 'me'}});
  t.true((replaced?.record.fence ?? 0) > 7);
});

test('a forgotten claim that nobody writes again is taken after a wait', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 9}]]);
  const live = candidates('me', 'other');
  const at = (eraMs: number, host: string) =>
    reviewClaims(review({era: 1, eraMs, claims, live, self: host}));
  t.deepEqual([...at(2_000, 'me'), ...at(2_000, 'other')], []);
  const [taken] = [...at(4_000, 'me'), ...at(4_000, 'other')];
  t.like(taken, {
    expectedRevision: 9,
    record: {fence: firstFence(1), takenFrom: UNKNOWN_HOLDER},
  });
  const [later] = [...at(30_000, 'me'), ...at(30_000, 'other')];
  t.like(later, {record: {takenFrom: undefined}});
});

test('a claim of the era of the store stays with its holder', (t) => {
  const record = claim('other', {fence: firstFence(2) + 3});
  const claims = new Map([['s1', {record, revision: 9}]]);
  const live = candidates('me', 'other');
  t.deepEqual(reviewClaims(review({era: 2, claims, live})), []);
  const [taken] = reviewClaims(
    review({era: 2, claims, unreachableMs: () => 6_000}),
  );
  t.like(taken, {record: {fence: firstFence(2) + 4, takenFrom: 'other'}});
});
