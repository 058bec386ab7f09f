import {
  adapterVersionKey,
  configurationRevision,
  type RequestDescription,
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

/** Deadline of work that can wait, milliseconds. */
const WORK_DEADLINE_MS = 20_000;

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
    // What waited for a paused host may ask it to stop.
    host?.resume();
    if (host === undefined || host.hasStopped || !isServing(host)) {
      restart(fleet, name);
    } else {
      fleet.listHost(name);
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
  suspend: (fleet, {host, forMs}) => {
    const suspended = hostAt(fleet, host);
    suspended?.suspend();
    later(fleet, forMs, () => {
      suspended?.resume();
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
    isolate(fleet, hostName(fleet, host), forMs);
  },
  // The platform drops a host that runs, and then cuts it off.
  unlist: (fleet, {host, isolateAfterMs, forMs}) => {
    const name = hostName(fleet, host);
    fleet.hostList.removeHost(name);
    later(fleet, isolateAfterMs, () => {
      isolate(fleet, name, forMs);
    });
    later(fleet, isolateAfterMs + forMs, () => {
      fleet.listHost(name);
    });
  },
  'lost-answers': (fleet, {share, forMs}) => {
    fleet.network.setFaults({lostAnswerShare: share});
    later(fleet, forMs, () => {
      fleet.network.setFaults({lostAnswerShare: 0});
    });
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
  call: (fleet, {host, other, repeated, repeatAfterMs, losesAnswer}) => {
    const key = `key-${fleet.nextNumber()}`;
    if (losesAnswer) {
      fleet.servers.get('desk-0')?.plain?.setFaults({loseNextAnswers: 1});
    }
    submitCall(fleet, host, 'member-0', key);
    if (repeated) {
      later(fleet, repeatAfterMs, () => {
        submitCall(fleet, other, 'member-0', key);
        submitCall(fleet, other, 'member-1', key);
      });
    }
  },
  work: (fleet, {host, adapter, other, queryAfterMs}) => {
    submitWork(fleet, host, `a-${adapter}`);
    later(fleet, queryAfterMs, () => {
      queryWorks(fleet, other, 'early');
    });
  },
};

/** Asks for all accepted work, as its owner and as another member. */
export const queryWorks = (fleet: Fleet, index: number, time: string): void => {
  for (const {request} of fleet.history.works) {
    const {requestId} = request;
    for (const member of [request.member, 'member-9']) {
      const query = `${requestId}/${member}/${time}`;
      hostAt(fleet, index)?.handle({
        type: 'work-queried',
        query,
        requestId,
        member,
      });
    }
  }
};

const restart = (fleet: Fleet, name: string): void => {
  fleet.listHost(name);
  fleet.start(name);
};

const isolate = (fleet: Fleet, name: string, forMs: number): void => {
  for (const node of [STORE_NODE, HOST_LIST_NODE, ...fleet.hostNames]) {
    cut(fleet, name, node, forMs);
  }
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
  const request = describeRequest(fleet, host, adapter);
  if (request !== undefined) {
    host?.handle({
      type: 'request-submitted',
      request,
      remainingMs: REQUEST_DEADLINE_MS,
    });
  }
};

const submitWork = (fleet: Fleet, index: number, adapter: string): void => {
  const host = hostAt(fleet, index);
  const request = describeRequest(fleet, host, adapter);
  if (request !== undefined) {
    host?.handle({
      type: 'work-submitted',
      request: {...request, priorityClass: 'deferrable'},
      body: '{}',
      remainingMs: WORK_DEADLINE_MS,
    });
  }
};

const describeRequest = (
  fleet: Fleet,
  host: SimulatedHost | undefined,
  adapter: string,
): RequestDescription | undefined => {
  const resolution =
    host === undefined ? undefined : resolveModel(host.state, adapter);
  if (resolution?.kind !== 'resolved') {
    return undefined;
  }
  const {entry, version} = resolution;
  const requestId = `request-${fleet.nextNumber()}`;
  const request: RequestDescription = {
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
  return request;
};

const submitCall = (
  fleet: Fleet,
  index: number,
  member: string,
  idempotencyKey: string,
): void => {
  const requestId = `call-${fleet.nextNumber()}`;
  const call = {
    requestId,
    member,
    pool: 'billing-desk',
    operation: 'top-up',
    idempotent: false,
    idempotencyKey,
    bodyDigest: idempotencyKey,
  };
  fleet.calls.set(requestId, call);
  hostAt(fleet, index)?.handle({
    type: 'call-submitted',
    call,
    remainingMs: REQUEST_DEADLINE_MS,
  });
};
