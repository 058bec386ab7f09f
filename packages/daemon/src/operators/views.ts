import {
  adapterEntries,
  configurationRevision,
  fencingNumberOf,
  homeOf,
  listedHosts,
  listedServers,
  loadBudgetHolder,
  ownedServer,
  ownedServers,
  ownerOf,
  standingOf,
  storedHead,
  unfinishedCalls,
  unsettledWork,
} from '@basilworks/core';
import type {
  AdaptersView,
  HistoryView,
  HostsView,
  LoadsView,
  ServersView,
  ServerView,
} from '@basilworks/protocol';

import type {DaemonContext} from '../context.js';

/** This host's standing, and the hosts that it knows of. */
export const viewHosts = ({
  loop: {state},
  identity,
  readiness,
  settings,
}: DaemonContext): HostsView => ({
  host: settings.host,
  zone: settings.zone,
  incarnation: identity.incarnation,
  standing: standingOf(state),
  ready: readiness.ready,
  reason: readiness.reason,
  revision: configurationRevision(state),
  ownedServers: ownedServers(state).length,
  unrecorded: unfinishedCalls(state) + unsettledWork(state),
  hosts: [...listedHosts(state)],
});

/** All servers, with the slots of those that this host owns. */
export const viewServers = (context: DaemonContext): ServersView => ({
  host: context.settings.host,
  servers: listedServers(context.loop.state).map((server) => ({
    ...server,
    owner: ownerOf(context.loop.state, server.server),
    owned: viewOwned(context, server.server),
  })),
});

/** The configuration in force, with the home of each adapter. */
export const viewAdapters = ({loop: {state}}: DaemonContext): AdaptersView => ({
  revision: configurationRevision(state),
  adapters: [...adapterEntries(state)].map((entry) => ({
    ...entry,
    home: homeOf(state, entry.adapter),
  })),
});

/** The queue of the weight store's loads, where this host holds it. */
export const viewLoads = ({loop, settings}: DaemonContext): LoadsView => {
  const {state} = loop;
  const {pending, granted} = state.loadBudget;
  const nowMs = loop.now().monotonicMs;
  return {
    host: settings.host,
    isHolder: loadBudgetHolder(state) === settings.host,
    loads: [
      ...[...granted.values()].map(({loadId, owner, grantedMs}) => ({
        loadId,
        state: 'granted' as const,
        owner,
        sinceMs: nowMs - grantedMs,
      })),
      ...[...pending.values()].map(
        ({loadId, owner, server, wanted, urgency, askedMs}) => ({
          loadId,
          state: 'waiting' as const,
          owner,
          server,
          ...wanted,
          urgency,
          sinceMs: nowMs - askedMs,
        }),
      ),
    ],
  };
};

/** The revisions that the platform's head still describes. */
export const viewHistory = ({loop: {state}}: DaemonContext): HistoryView => ({
  revisions: (storedHead(state)?.history ?? []).map(
    ({revision, operator, changeCount, changes}) => ({
      revision,
      operator,
      changeCount,
      changes,
    }),
  ),
});

const viewOwned = (
  {loop}: DaemonContext,
  server: string,
): ServerView['owned'] => {
  const owned = ownedServer(loop.state, server);
  if (owned === undefined) {
    return undefined;
  }
  const nowMs = loop.now().monotonicMs;
  return {
    fencingNumber: fencingNumberOf(loop.state, server),
    running: owned.running,
    slotsInUse: [...owned.slots.values()].map((slot) => ({
      adapter: slot.adapter,
      version: slot.version,
      state: slot.state,
      running: slot.running,
      queued: slot.queued,
      idleMs: Math.max(0, nowMs - slot.lastUsedMs),
      uses: slot.uses,
    })),
  };
};
