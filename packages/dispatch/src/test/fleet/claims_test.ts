import test from 'ava';

import {
  CLAIM_VALIDITY_MS,
  type ClaimRecord,
  type ClaimReview,
  mayIssueOrders,
  reviewClaims,
} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

const named = (...names: string[]) => names.map((name) => ({name, weight: 1}));

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
  live: named('me'),
  servers: ['s1'],
  claims: new Map(),
  completedTakeovers: new Set(),
  minorityMs: 0,
  unreachableMs: () => 0,
  ...extra,
});

test('a server without a claim gets one, which may be used at once', (t) => {
  const [change] = reviewClaims(review({}));
  t.like(change, {
    expectedRevision: undefined,
    record: {host: 'me', fence: 1, takenFrom: undefined},
  });
});

test('a claim stays where its holder is heard or only just silent', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  t.deepEqual(reviewClaims(review({claims, live: named('me', 'other')})), []);
  t.deepEqual(reviewClaims(review({claims, unreachableMs: () => 4_000})), []);
});

test('a claim of a host that is gone is taken with a higher fence', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  const [change] = reviewClaims(review({claims, unreachableMs: () => 6_000}));
  t.like(change, {
    expectedRevision: 7,
    record: {host: 'me', fence: 5, takenFrom: 'other'},
  });
});

test('a host that is cut off from the others takes nothing', (t) => {
  const claims = new Map([['s1', {record: claim('other'), revision: 7}]]);
  const cut = review({claims, unreachableMs: () => 6_000, minorityMs: 5_000});
  t.deepEqual(reviewClaims(cut), []);
});

test('orders need a recent proof that the claim was not revoked', (t) => {
  const held = {
    record: claim('me'),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  const proof = {orderLeaseMs: 3_000, at: at(60_000)};
  t.true(mayIssueOrders(held, {...proof, claimsAgeMs: 7_000}));
  t.false(mayIssueOrders(held, {...proof, claimsAgeMs: CLAIM_VALIDITY_MS}));
});

test('cold loads go on through an outage of the store of nine seconds', (t) => {
  const held = {
    record: claim('me'),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  // A relayed read is up to two and a half seconds old when the outage begins.
  const claimsAgeMs = 2_500 + 9_000;
  t.true(
    mayIssueOrders(held, {orderLeaseMs: 3_000, claimsAgeMs, at: at(60_000)}),
  );
});

test('a taker waits until the proof of the holder before has run out', (t) => {
  const held = {
    record: claim('me', {takenFrom: 'other'}),
    heldSince: at(0),
    yieldConfirmedAt: undefined,
  };
  const proof = {claimsAgeMs: 0, orderLeaseMs: 3_000};
  const silenceMs = CLAIM_VALIDITY_MS + 3_000;
  t.false(mayIssueOrders(held, {...proof, at: at(silenceMs)}));
  t.true(mayIssueOrders(held, {...proof, at: at(silenceMs + 1_000)}));
});

test('a taker begins sooner once the holder before knows', (t) => {
  const held = {
    record: claim('me', {takenFrom: 'other'}),
    heldSince: at(0),
    yieldConfirmedAt: at(1_000),
  };
  const proof = {claimsAgeMs: 0, orderLeaseMs: 3_000};
  t.false(mayIssueOrders(held, {...proof, at: at(4_000)}));
  t.true(mayIssueOrders(held, {...proof, at: at(4_600)}));
});

test('a claim that has settled forgets whom it was taken from', (t) => {
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
