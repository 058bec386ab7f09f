import {
  adapterVersionKey,
  configurationRevision,
  resolveModel,
} from '@basilworks/core';

import type {Fleet} from '../fleet/fleet.js';
import {HOST_LIST_NODE, STORE_NODE} from '../fleet/platform-runners.js';
import {sampleSheet} from '../fleet/sample-servers.js';
import type {SimulatedHost} from '../fleet/simulated-host.js';
import type {Action} from './fault-schedule.js';

/** Milliseconds after which the platform drops a lost host from its list. */
const REMOVAL_DELAY_MS = 4_000;

/** Milliseconds until a stopping host that does not finish is killed. */
const STOP_TIMEOUT_MS = 20_000;

/** Deadline of each request and call, milliseconds. */
const REQUEST_DEADLINE_MS = 8_000;

type ActionTable = {
  readonly [Type in Action['type']]: (
    fleet: Fleet,
    action: Extract<Action, {readonly type: Type}>,
  ) => void;
};

/** Does one action of a schedule. */
export const perform = (fleet: Fleet, action: Action): void => {
  const run = actions[action.type] as (fleet: Fleet, action: Action) => void;
  run(fleet, action);
};

/** Ends every fault and starts the processes that do not run. */
export const healAll = (fleet: Fleet): void => {
  fleet.network.heal();
  fleet.store.setFaults({outage: false, delayMs: 0});
  for (const name of fleet.hostNames) {
    const host = fleet.host(name);
    if (host === undefined || host.hasStopped || !isServing(host)) {
      restart(fleet, name);
    } else {
      host.resume();
    }
  }
  for (const {description} of fleet.servers.values()) {
    fleet.hostList.setServerState(description.server, 'live');
  }
};

const isServing = (host: SimulatedHost): boolean =>
  host.state.membership.standing === 'serving';

const hostName = (fleet: Fleet, index: number): string =>
  `host-${index % fleet.hostNames.length}`;

const hostAt = (fleet: Fleet, index: number): SimulatedHost | undefined =>
  fleet.host(hostName(fleet, index));

const later = (fleet: Fleet, afterMs: number, callback: () => void): void => {
  fleet.scheduler.schedule(afterMs, callback);
};

const actions: ActionTable = {
  pause: (fleet, {host, forMs}) => {
    const paused = hostAt(fleet, host);
    paused?.pause();
    later(fleet, forMs, () => {
      paused?.resume();
    });
  },
  restart: (fleet, {host, afterMs}) => {
    const name = hostName(fleet, host);
    fleet.host(name)?.kill();
    later(fleet, REMOVAL_DELAY_MS, () => {
      if (fleet.host(name) === undefined) {
        fleet.hostList.removeHost(name);
      }
    });
    later(fleet, afterMs, () => {
      if (fleet.host(name) === undefined) {
        restart(fleet, name);
      }
    });
  },
  'planned-stop': (fleet, {host}) => {
    const stopping = hostAt(fleet, host);
    stopping?.handle({type: 'stop-requested'});
    later(fleet, STOP_TIMEOUT_MS, () => {
      stopping?.kill();
    });
  },
  'cut-store': (fleet, {host, forMs}) => {
    cut(fleet, hostName(fleet, host), STORE_NODE, forMs);
  },
  'cut-list': (fleet, {host, forMs}) => {
    cut(fleet, hostName(fleet, host), HOST_LIST_NODE, forMs);
  },
  'cut-peers': (fleet, {host, other, forMs}) => {
    cut(fleet, hostName(fleet, host), hostName(fleet, other), forMs);
  },
  isolate: (fleet, {host, forMs}) => {
    const name = hostName(fleet, host);
    for (const node of [STORE_NODE, HOST_LIST_NODE, ...fleet.hostNames]) {
      cut(fleet, name, node, forMs);
    }
  },
  'store-outage': (fleet, {forMs}) => {
    fleet.store.setFaults({outage: true});
    later(fleet, forMs, () => {
      fleet.store.setFaults({outage: false});
    });
  },
  'store-slow': (fleet, {delayMs, forMs}) => {
    fleet.store.setFaults({delayMs});
    later(fleet, forMs, () => {
      fleet.store.setFaults({delayMs: 0});
    });
  },
  'bad-network': (fleet, {lossShare, repeatShare, maximumDelayMs, forMs}) => {
    fleet.network.setFaults({lossShare, repeatShare, maximumDelayMs});
    later(fleet, forMs, () => {
      fleet.network.setFaults({lossShare: 0, repeatShare: 0});
    });
  },
  'wall-jump': (fleet, {host, byMs}) => {
    hostAt(fleet, host)?.jumpWall(byMs);
  },
  'engine-restart': (fleet, {server}) => {
    fleet.servers.get(`engine-${server}`)?.engine?.restart();
  },
  'server-leaves': (fleet, {server, forMs}) => {
    fleet.hostList.setServerState(`engine-${server}`, 'leaving');
    later(fleet, forMs, () => {
      fleet.hostList.setServerState(`engine-${server}`, 'live');
    });
  },
  sheet: (fleet, {host, version, adapters, sawNewest}) => {
    submitSheet(fleet, host, adapters, version, sawNewest);
  },
  'sheet-race': (fleet, {host, other, version}) => {
    submitSheet(fleet, host, 6, version, true);
    submitSheet(fleet, other, 6, version + 1, true);
  },
  requests: (fleet, {host, adapter, count}) => {
    for (let index = 0; index < count; index += 1) {
      later(fleet, index, () => {
        submitRequest(fleet, host, `a-${(adapter + index) % 6}`);
      });
    }
  },
  call: (fleet, {host, other, repeated, repeatAfterMs}) => {
    const key = `key-${fleet.nextNumber()}`;
    submitCall(fleet, host, key);
    if (repeated) {
      later(fleet, repeatAfterMs, () => {
        submitCall(fleet, other, key);
      });
    }
  },
};

const restart = (fleet: Fleet, name: string): void => {
  fleet.listHost(name);
  fleet.start(name);
};

const cut = (
  fleet: Fleet,
  first: string,
  second: string,
  forMs: number,
): void => {
  if (first !== second) {
    fleet.network.cut(first, second);
    later(fleet, forMs, () => {
      fleet.network.join(first, second);
    });
  }
};

const submitSheet = (
  fleet: Fleet,
  index: number,
  adapters: number,
  version: number,
  sawNewest: boolean,
): void => {
  const host = hostAt(fleet, index);
  const submission = `sheet-${fleet.nextNumber()}`;
  host?.handle({
    type: 'sheet-submitted',
    submission,
    operator: submission,
    text: sampleSheet(adapters, `v${version}`),
    dryRun: false,
    allowMassRetirement: true,
    expectedRevision: sawNewest ? configurationRevision(host.state) : undefined,
  });
};

const submitRequest = (fleet: Fleet, index: number, adapter: string): void => {
  const host = hostAt(fleet, index);
  const resolution =
    host === undefined ? undefined : resolveModel(host.state, adapter);
  if (host === undefined || resolution?.kind !== 'resolved') {
    return;
  }
  const {entry, version} = resolution;
  const requestId = `request-${fleet.nextNumber()}`;
  const request = {
    requestId,
    member: 'member-0',
    adapter,
    version,
    baseModel: entry.baseModel,
    pool: entry.pool,
    priorityClass: entry.priorityClass,
    prefixDigest: adapterVersionKey({adapter, version}),
    maximumTokens: 100,
  };
  fleet.requests.set(requestId, request);
  host.handle({
    type: 'request-submitted',
    request,
    remainingMs: REQUEST_DEADLINE_MS,
  });
};

const submitCall = (
  fleet: Fleet,
  index: number,
  idempotencyKey: string,
): void => {
  hostAt(fleet, index)?.handle({
    type: 'call-submitted',
    call: {
      requestId: `call-${fleet.nextNumber()}/${idempotencyKey}`,
      member: 'member-0',
      pool: 'billing-desk',
      operation: 'top-up',
      idempotent: false,
      idempotencyKey,
      bodyDigest: idempotencyKey,
    },
    remainingMs: REQUEST_DEADLINE_MS,
  });
};
