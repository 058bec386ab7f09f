import type {Instant} from '../instant.js';
import type {HostList, ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {deriveView} from './view.js';

/** Asks for the platform's host list unless a read is under way. */
export const readHostList = ({membership}: CoreState, turn: Turn): void => {
  if (membership.hostListAskedAt === undefined) {
    membership.hostListAskedAt = turn.at;
    turn.perform({type: 'read-host-list'});
  }
};

/**
 * Takes a host list whose read started at `readAt`. Lists older than the known
 * one are ignored. Raises what changed.
 */
export const takeHostList = (
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
  const before = membership.view.servers;
  membership.hostList = hostList;
  forgetUnlisted(state, hostList);
  refreshView(state, turn);
  raiseServerChanges(before, membership.view.servers, turn);
};

/** Derives the indexes anew and raises `hosts-changed` if the hosts did. */
export const refreshView = ({membership}: CoreState, turn: Turn): void => {
  const before = JSON.stringify(membership.view.liveHosts);
  membership.view = deriveView(membership);
  if (JSON.stringify(membership.view.liveHosts) !== before) {
    turn.raise({type: 'hosts-changed'});
  }
};

const forgetUnlisted = (
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
