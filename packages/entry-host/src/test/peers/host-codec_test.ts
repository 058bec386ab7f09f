import type {HostEntry} from '@basilworks/dispatch';
import test from 'ava';

import {decodeHost, encodeHost} from '../../peers/host-codec.js';

const KNOWN: HostEntry = {
  host: 'h1',
  incarnation: 'a',
  zone: 'z1',
  peerAddress: '10.0.0.1:9000',
  callerAddress: '10.0.0.1:8000',
  ready: true,
  readsStore: true,
  capacity: 675,
  version: 3,
  gone: false,
  relayAddress: '10.0.0.1:7000',
  cutFromServers: false,
  unreachedServers: [],
};

test('a status equal to the known entry decodes to that entry', (t) => {
  t.is(decodeHost(encodeHost(KNOWN), KNOWN), KNOWN);
});

test('a status that differs from the known entry is validated', (t) => {
  const newer = {...KNOWN, version: 4, gone: true};
  t.deepEqual(decodeHost(encodeHost(newer), KNOWN), newer);
  t.deepEqual(decodeHost(encodeHost(KNOWN)), KNOWN);
  const malformed = {...KNOWN, peerAddress: 'nowhere'};
  t.is(decodeHost(encodeHost(malformed), KNOWN), undefined);
  t.is(decodeHost(undefined, KNOWN), undefined);
});

test('a change of the servers that a host does not reach is decoded', (t) => {
  const cut = {...KNOWN, unreachedServers: ['s1', 's2']};
  t.deepEqual(decodeHost(encodeHost(cut), KNOWN), cut);
  t.deepEqual(decodeHost(encodeHost(KNOWN), cut), KNOWN);
  const endless = Array.from({length: 1_000}, (_, index) => `s${index}`);
  const malformed = {...KNOWN, unreachedServers: endless};
  t.is(decodeHost(encodeHost(malformed), KNOWN), undefined);
});
