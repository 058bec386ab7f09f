import test from 'ava';
import fc from 'fast-check';

import {
  digestKey,
  identify,
  KeyRing,
  mayAcceptKeys,
  mayStillSend,
  type Tenant,
} from '../../index.js';

const tenant = (name: string, ...keys: readonly string[]): Tenant => ({
  name,
  keyDigests: keys.map(digestKey),
});

const ring = KeyRing.of([tenant('a', 'k1', 'k2'), tenant('b', 'k3')]);
const clues = {
  ring: ring._unsafeUnwrap(),
  route: {},
  keys: ['k2'],
  mayAcceptKeys: true,
  mayRejectKeys: true,
};

/** Returns the tenant's name, the reason of the refusal or the type. */
const identifyWith = (differing: Partial<Parameters<typeof identify>[0]>) => {
  const identity = identify({...clues, ...differing});
  return identity.type === 'tenant'
    ? identity.tenant.name
    : identity.type === 'refused'
      ? identity.reason
      : identity.type;
};

const ROWS = [
  ['a key of a tenant', {}, 'a'],
  ['no tenants', {ring: undefined, mayAcceptKeys: false}, 'unnamed'],
  ['an open route', {route: {open: true}, mayAcceptKeys: false}, 'open'],
  ['an old configuration', {mayAcceptKeys: false, keys: []}, 'unconfirmed'],
  ['no key', {keys: []}, 'no-key'],
  ['two keys', {keys: ['k1', 'k1']}, 'odd-key'],
  ['an empty key', {keys: ['']}, 'odd-key'],
  ['a long key', {keys: ['k'.repeat(257)]}, 'odd-key'],
  ['a key that is not ASCII', {keys: ['k\u00e9']}, 'odd-key'],
  ['a key of nobody', {keys: ['k4']}, 'unknown-key'],
  [
    'a key that may be new',
    {keys: ['k4'], mayRejectKeys: false},
    'unconfirmed',
  ],
  ['a known key then', {mayRejectKeys: false}, 'a'],
] as const;

for (const [name, differing, expected] of ROWS) {
  test(`identity: ${name}`, (t) => {
    t.is(identifyWith(differing), expected);
  });
}

test('ambiguous tenants are rejected without revealing digests', (t) => {
  const sets = [
    [tenant('a', 'k1'), tenant('a', 'k2')],
    [tenant('a', 'k1'), tenant('b', 'k2', 'k1')],
    [tenant('a\r\nX: y', 'k1')],
  ];
  for (const tenants of sets) {
    const problem = KeyRing.of(tenants)._unsafeUnwrapErr().message;
    t.false(problem.includes(digestKey('k1')));
  }
  t.true(KeyRing.of([tenant('a', 'k1', 'k1')]).isOk());
});

test('each of ten thousand keys finds its tenant', (t) => {
  const tenants = Array.from({length: 100}, (_value, index) =>
    tenant(
      `t${index}`,
      ...Array.from({length: 100}, (_key, key) => `${index}/${key}`),
    ),
  );
  const large = KeyRing.of(tenants)._unsafeUnwrap();
  fc.assert(
    fc.property(fc.nat(99), fc.nat(99), (index, key) => {
      const digest = digestKey(`${index}/${key}`);
      t.is(large.find(digest)?.name, `t${index}`);
    }),
  );
});

test('a key is checked again against a later configuration', (t) => {
  const [first, other] = [tenant('a', 'k1'), tenant('b', 'k1')];
  const caller = {
    type: 'tenant',
    tenant: first,
    digest: digestKey('k1'),
  } as const;
  const of = (tenants: Tenant[]) => KeyRing.of(tenants)._unsafeUnwrap();
  t.true(mayStillSend(caller, of([first, tenant('b', 'k2')]), true));
  t.false(mayStillSend(caller, of([first]), false));
  t.false(mayStillSend(caller, of([tenant('a', 'k2')]), true));
  t.false(mayStillSend(caller, of([other]), true));
  t.true(mayStillSend(caller, undefined, false));
  t.true(mayStillSend({type: 'open'}, of([]), false));
});

test('keys are accepted within the bound less a margin', (t) => {
  t.true(mayAcceptKeys(4_799, 5_000));
  t.false(mayAcceptKeys(4_800, 5_000));
  t.true(mayAcceptKeys(89, 100));
  t.false(mayAcceptKeys(90, 100));
  t.false(mayAcceptKeys(Infinity, 5_000));
  t.false(mayAcceptKeys(NaN, 5_000));
  t.true(mayAcceptKeys(Infinity, undefined));
});
