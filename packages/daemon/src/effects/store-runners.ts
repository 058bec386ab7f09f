import type {StoreRequestEffect} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {RunnersOf} from '../runner-table.js';

/** Calls to the object API; each posts one `store-responded`. */
export const createStoreRunners = (
  context: DaemonContext,
): RunnersOf<'store-request'> => ({
  'store-request': (effect) => {
    void perform(context, effect);
  },
});

const perform = async (
  {loop, platform, metrics}: DaemonContext,
  {area, correlation, operation, timeoutMs}: StoreRequestEffect,
): Promise<void> => {
  const sentAt = loop.now();
  const result = await platform.objectApi.perform(operation, timeoutMs);
  metrics.storeCalls.inc({operation: operation.type, result: result.type});
  loop.post({type: 'store-responded', area, correlation, result, sentAt});
};
