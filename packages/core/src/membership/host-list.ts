import type {Instant} from '../instant.js';
import type {HostList, ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {deriveView} from './view.js';

/** Requests the platform's host list unless a read is in progress. */
export const requestHostList = ({membership}: CoreState, turn: Turn): void => {
  if (membership.hostListRequestedAt === undefined) {
    membership.hostListRequestedAt = turn.at;
    turn.perform({type: 'read-host-list'});
  }
};

/**
 * Applies a host list whose read started at `readAt` and raises events for what
 * changed. Lists older than the known one are ignored.
 */
export const applyHostList = (
  state: CoreState,
  hostList: HostList,
  readAt: Instant,
  turn: Turn,
): void => {
  const {membership} = state;
  const known = membership.hostList;
  if (known !== undefined && hostList.version < known.version) {
    return;
  }
  if (
    membership.hostListReadAt === undefined ||
    readAt.monotonicMs > membership.hostListReadAt.monotonicMs
  ) {
    membership.hostListReadAt = readAt;
  }
  if (hostList.version === known?.version) {
    return;
  }
  const previousServers = membership.view.servers;
  membership.hostList = hostList;
  removeUnlistedHosts(state, hostList);
  refreshView(state, turn);
  raiseServerChanges(previousServers, membership.view.servers, turn);
};

/** Recomputes the view and raises `hosts-changed` if the live hosts did. */
export const refreshView = ({membership}: CoreState, turn: Turn): void => {
  const previousHosts = JSON.stringify(membership.view.liveHosts);
  membership.view = deriveView(membership);
  if (JSON.stringify(membership.view.liveHosts) !== previousHosts) {
    turn.raise({type: 'hosts-changed'});
  }
};

const removeUnlistedHosts = (
  {membership}: CoreState,
  {entryHosts}: HostList,
): void => {
  const listed = new Set(entryHosts.map(({host}) => host));
  for (const host of membership.peers.keys()) {
    if (!listed.has(host)) {
      membership.peers.delete(host);
    }
  }
  for (const host of membership.announcedLeaving) {
    if (!listed.has(host)) {
      membership.announcedLeaving.delete(host);
    }
  }
};

const raiseServerChanges = (
  before: ReadonlyMap<string, ServerDescription>,
  after: ReadonlyMap<string, ServerDescription>,
  turn: Turn,
): void => {
  for (const [server, description] of after) {
    const known = before.get(server);
    if (JSON.stringify(known) === JSON.stringify(description)) {
      continue;
    }
    turn.raise({type: 'server-described', server});
    if (description.state === 'leaving' && known?.state !== 'leaving') {
      turn.raise({type: 'server-leaving', server});
    }
  }
  for (const [server, {state}] of before) {
    if (!after.has(server) && state === 'live') {
      turn.raise({type: 'server-leaving', server});
    }
  }
};
