import {mayAct, type ServerId} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {EffectRunner, RunnersOf} from '../runner-table.js';

/** Orders to engines and what engines report. */
export const createServerRunners = (
  context: DaemonContext,
): RunnersOf<'order-adapter' | 'read-server-report' | 'read-cache-events'> => {
  const cacheSequences = new Map<ServerId, number>();
  return {
    'order-adapter': (effect) => {
      void orderAdapter(context, effect);
    },
    'read-server-report': ({server}) => {
      void readServerReport(context, server);
    },
    'read-cache-events': ({server}) => {
      void readCacheEvents(context, server, cacheSequences);
    },
  };
};

const orderAdapter = async (
  {loop, directory, platform}: DaemonContext,
  {
    server,
    order,
    orderId,
    adapter,
    version,
    fencingNumber,
  }: Parameters<EffectRunner<'order-adapter'>>[0],
): Promise<void> => {
  const address = directory.server(server)?.address;
  const outcome =
    address === undefined
      ? 'not-sent'
      : await platform.engines.order(
          address,
          order,
          {orderId, adapter, version, fencingNumber},
          () => mayAct(loop.state, server, loop.checkClocks()),
        );
  loop.post({type: 'adapter-order-finished', orderId, outcome});
};

const readServerReport = async (
  {loop, directory, platform}: DaemonContext,
  server: ServerId,
): Promise<void> => {
  const address = directory.server(server)?.address;
  const report = address && (await platform.engines.readReport(address));
  loop.post({
    type: 'server-reported',
    server,
    report: report ? {...report, server} : undefined,
  });
};

const readCacheEvents = async (
  {loop, directory, platform}: DaemonContext,
  server: ServerId,
  sequences: Map<ServerId, number>,
): Promise<void> => {
  const address = directory.server(server)?.address;
  const after = sequences.get(server) ?? 0;
  const answer =
    address && (await platform.engines.readCacheEvents(address, after));
  if (!answer) {
    return;
  }
  const {events} = answer;
  const newest = events.reduce(
    (highest, {sequence}) => Math.max(highest, sequence),
    after,
  );
  sequences.set(server, newest);
  loop.post({type: 'cache-events-read', server, events});
};
