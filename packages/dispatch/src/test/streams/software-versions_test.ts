import test from 'ava';
import fc from 'fast-check';

import {
  SoftwareVersions,
  STREAM_RETENTION_MS,
  StreamOrigins,
} from '../../streams/index.js';

const SERVICE = 'engines';

const at = (monotonicMs: number) => ({monotonicMs, wallMs: monotonicMs});

const present = (...versions: readonly string[]) =>
  new Map([[SERVICE, new Set(versions)]]);

const recorded = (...versions: readonly string[]) =>
  new Map([[SERVICE, {versions}]]);

test('a new version is put on record before streams begin at it', (t) => {
  const versions = new SoftwareVersions();
  versions.applyRecorded(recorded('v1'), at(0));
  versions.applyPresent(present('v1', 'v2'), at(0));
  t.deepEqual(versions.due(SERVICE, at(0)), {
    versions: ['v1', 'v2'],
    defaultVersion: 'v1',
  });
  t.true(versions.mayBegin(SERVICE, 'v1'));
  t.false(versions.mayBegin(SERVICE, 'v2'));
  versions.applyRecorded(recorded('v1', 'v2'), at(0));
  t.true(versions.mayBegin(SERVICE, 'v2'));
  t.is(versions.due(SERVICE, at(0)), undefined);
});

test('streams begin at a new version at once if no other is left', (t) => {
  const versions = new SoftwareVersions();
  versions.applyRecorded(recorded('v1'), at(0));
  versions.applyPresent(present('v2'), at(0));
  t.true(versions.mayBegin(SERVICE, 'v2'));
  t.deepEqual([...versions.possible(SERVICE, at(0))].sort(), ['v1', 'v2']);
});

test('a version without servers stays possible as long as its streams', (t) => {
  const versions = new SoftwareVersions();
  versions.applyRecorded(recorded('v1', 'v2'), at(0));
  versions.applyPresent(present('v2'), at(0));
  t.is(versions.due(SERVICE, at(STREAM_RETENTION_MS - 1)), undefined);
  t.deepEqual(versions.due(SERVICE, at(STREAM_RETENTION_MS)), {
    versions: ['v2'],
  });
  // A version that comes back is kept from then on.
  versions.applyPresent(present('v1', 'v2'), at(STREAM_RETENTION_MS));
  versions.applyPresent(present('v2'), at(STREAM_RETENTION_MS + 1));
  t.is(versions.due(SERVICE, at(2 * STREAM_RETENTION_MS)), undefined);
});

// Guards against a host that takes all streams of a service for those of one
// version although another had begun some that may still go on.
test('no version is forgotten while its streams may go on', (t) => {
  const versionNames = ['v1', 'v1.1', 'v2'];
  const step = fc.record({
    serving: fc.subarray(versionNames, {minLength: 1}),
    pauseMs: fc.integer({min: 10, max: STREAM_RETENTION_MS}),
    writes: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {minLength: 1, maxLength: 30}), (steps) => {
      const versions = new SoftwareVersions();
      const lastBegan = new Map<string, number>();
      let nowMs = 0;
      for (const {serving, pauseMs, writes} of steps) {
        versions.applyPresent(present(...serving), at(nowMs));
        const due = versions.due(SERVICE, at(nowMs));
        if (writes && due !== undefined) {
          versions.applyRecorded(new Map([[SERVICE, due]]), at(nowMs));
        }
        nowMs += pauseMs;
        for (const version of serving) {
          if (versions.mayBegin(SERVICE, version)) {
            lastBegan.set(version, nowMs);
          }
        }
        for (const [version, beganMs] of lastBegan) {
          if (nowMs - beganMs < STREAM_RETENTION_MS) {
            t.true(versions.possible(SERVICE, at(nowMs)).has(version));
          }
        }
      }
    }),
    {seed: 11},
  );
});

test('the origins of streams are forgotten after their time', (t) => {
  const origins = new StreamOrigins();
  origins.record({requestId: 'r1', softwareVersion: 'v1'}, at(0));
  origins.record({requestId: 'r2', softwareVersion: 'v2'}, at(1_000));
  t.is(origins.get('r1'), 'v1');
  origins.record(
    {requestId: 'r3', softwareVersion: 'v2'},
    at(STREAM_RETENTION_MS + 500),
  );
  t.is(origins.get('r1'), undefined);
  t.is(origins.get('r2'), 'v2');
  t.is(origins.size, 2);
});

// Guards against a host that says it was told of nothing, as it has forgotten.
test('streams of versions that must be kept outlive their time', (t) => {
  const origins = new StreamOrigins((version) => version === 'v2');
  origins.record({requestId: 'r1', softwareVersion: 'v1'}, at(0));
  origins.record({requestId: 'r2', softwareVersion: 'v2'}, at(0));
  origins.record(
    {requestId: 'r3', softwareVersion: 'v1'},
    at(STREAM_RETENTION_MS + 1),
  );
  t.is(origins.get('r1'), undefined);
  t.is(origins.get('r2'), 'v2');
  t.true(origins.isComplete);
  origins.forgetKept();
  t.is(origins.get('r2'), undefined);
  t.is(origins.size, 1);
});

test('a host that had no room for a stream of such a version tells', (t) => {
  const origins = new StreamOrigins((version) => version === 'v2');
  for (let index = 0; index <= 100_000; index += 1) {
    origins.record({requestId: `r${index}`, softwareVersion: 'v2'}, at(0));
    if (index === 99_999) {
      t.true(origins.isComplete);
    }
  }
  t.is(origins.size, 100_000);
  t.false(origins.isComplete);
  origins.forgetKept();
  t.true(origins.isComplete);
});
