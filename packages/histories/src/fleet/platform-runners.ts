import type {StoreOperation, StoreResult} from '@basilworks/core';

import type {EffectRunners} from './effect-runners.js';
import type {SimulatedHost} from './simulated-host.js';

/** Name of the object API as a node of the network. */
export const STORE_NODE = 'store';

/** Name of the host list as a node of the network. */
export const HOST_LIST_NODE = 'host-list';

/** Milliseconds after which a read of the host list has failed. */
const HOST_LIST_TIMEOUT_MS = 1_000;

/** Runners of the effects that go to the platform. */
export const platformRunners: EffectRunners = {
  'store-request': (host, {area, correlation, operation, timeoutMs}) => {
    const sentAt = host.now();
    let isAnswered = false;
    const answer = (result: StoreResult): void => {
      if (!isAnswered) {
        isAnswered = true;
        timeout.cancel();
        host.handle({
          type: 'store-responded',
          area,
          correlation,
          result,
          sentAt,
        });
      }
    };
    const timeout = host.around.scheduler.schedule(timeoutMs, () => {
      answer({type: 'unknown'});
    });
    callStore(host, operation, answer);
  },
  'read-host-list': (host) => {
    const {network, hostList, scheduler} = host.around;
    let isAnswered = false;
    const answer = (isRead: boolean): void => {
      if (!isAnswered) {
        isAnswered = true;
        timeout.cancel();
        const list = isRead ? hostListRead : undefined;
        host.handle({type: 'host-list-read', hostList: list});
      }
    };
    let hostListRead: ReturnType<typeof hostList.read> | undefined;
    const timeout = scheduler.schedule(HOST_LIST_TIMEOUT_MS, () => {
      answer(false);
    });
    network.sendOnce(host.name, HOST_LIST_NODE, () => {
      hostListRead = hostList.read();
      network.sendOnce(HOST_LIST_NODE, host.name, () => {
        answer(true);
      });
    });
  },
  'create-signing-key': (host, {submission, operator}) => {
    const keyId = `key-${Math.round(host.around.scheduler.nowMs())}`;
    host.handle({
      type: 'signing-key-created',
      submission,
      operator,
      keyId,
      secretBase64: 'c2VjcmV0',
    });
  },
  'sheet-result': (host, {submission, result}) => {
    const {history, scheduler} = host.around;
    history.sheets.push({
      atMs: scheduler.nowMs(),
      host: host.name,
      submission,
      operator: submission,
      result,
    });
  },
  'observe-metric': (host, {metric, value}) => {
    const {history, scheduler} = host.around;
    if (metric === 'configuration_revision') {
      history.revisions.push({
        atMs: scheduler.nowMs(),
        host: host.name,
        incarnation: host.incarnation,
        revision: value,
      });
    }
  },
};

/** One call: both ways over the network, and recorded where it writes. */
const callStore = (
  {name, around}: SimulatedHost,
  operation: StoreOperation,
  answer: (result: StoreResult) => void,
): void => {
  const {network, store, history, scheduler} = around;
  network.sendOnce(name, STORE_NODE, () => {
    store.call(operation, (result) => {
      if ('value' in operation && result.type === 'written') {
        const {version} = result;
        const atMs = scheduler.nowMs();
        history.writes.push({atMs, host: name, operation, version});
      }
      if (!network.losesAnswer()) {
        network.sendOnce(STORE_NODE, name, () => {
          answer(result);
        });
      }
    });
  });
};
