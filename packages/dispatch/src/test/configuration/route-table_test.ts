import test from 'ava';

import {
  adapterCapacity,
  chooseTarget,
  type Route,
  RouteTable,
} from '../../index.js';

const route = (name: string, pathPrefix: string): Route => ({
  name,
  host: 'Site.Example',
  pathPrefix,
  kind: 'idempotent',
  targets: [
    {service: 'a', weight: 90},
    {service: 'none', weight: 0},
    {service: 'b', weight: 10},
  ],
  timeoutMs: 1_000,
  latencyTargetMs: 100,
  eventGapMs: undefined,
  priority: 0,
  maximumAttempts: 1,
  sticky: false,
  resumable: false,
});

const routes = new RouteTable({
  version: 1,
  routes: [route('short', '/a/'), route('long', '/a/b/')],
  services: [{name: 'a', healthPath: '/', maximumConnections: 5}],
  limits: {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

test('the longest matching prefix of the host wins', (t) => {
  t.is(routes.match('site.example', '/a/b/c?d=/a/')?.name, 'long');
  t.is(routes.match('SITE.example:80', '/a/x')?.name, 'short');
  t.is(routes.match('site.example', '/ab')?.name, undefined);
  t.is(routes.match('other.example', '/a/b/')?.name, undefined);
});

test('targets get requests in proportion to their weights', (t) => {
  t.is(chooseTarget(route('r', '/'), 0.5), 'a');
  t.is(chooseTarget(route('r', '/'), 0.95), 'b');
  t.is(chooseTarget(route('r', '/'), 0), 'a');
});

test('adapter capacity is limited by slots and remaining memory', (t) => {
  const engine = {
    adapterPlaces: 17,
    weightMemoryMb: 75_300,
    models: [{name: 'm', weightsMb: 72_700, adapterMb: 66}],
  };
  t.is(adapterCapacity(engine), 17);
  t.is(adapterCapacity({...engine, weightMemoryMb: 73_000}), 4);
});
