import type {ServerId} from '../identifiers.js';
import {ownerOf} from '../ownership/selectors.js';
import {requestWeight} from '../residency/urgency.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {candidateServers} from './candidates.js';
import {chooseServer, type ServerChoice} from './choose-server.js';
import type {PlacementFinished} from './messages.js';
import {type ServerView, viewServer} from './server-view.js';
import type {Placement} from './state.js';

/**
 * Interval at which a subscription to a server's summaries is renewed. Owners
 * keep a subscription for longer, so that renewals in time leave no gap.
 */
const SUMMARY_REFRESH_MS = 10_000;

/** Time after its deadline at which an unfinished placement is removed. */
const PLACEMENT_RETENTION_MS = 60_000;

/** Maximum number of prompt prefixes whose servers a home records. */
const PREFIX_CAPACITY = 10_000;

/** Returns the cheapest current server that has not refused the request. */
export const choosePlacementServer = (
  state: CoreState,
  placement: Placement,
  turn: Turn,
): ServerChoice | undefined => {
  const {request, excluded} = placement;
  const views = viewCandidates(state, placement, turn).filter(
    ({description}) => !excluded.includes(description.server),
  );
  return chooseServer(views, {
    settings: state.settings,
    request,
    prefixServer: findPrefixServer(state, request.prefixDigest),
  });
};

/** Assigns a placement to the chosen server and notifies the ingress host. */
export const grantPlacement = (
  state: CoreState,
  placement: Placement,
  {view, waitMs, costMs}: ServerChoice,
  turn: Turn,
): void => {
  const {server} = view.description;
  const {inFlight, prefixServers} = state.routing;
  const {request} = placement;
  placement.server = server;
  placement.grantedMs = turn.at.monotonicMs;
  inFlight.set(server, (inFlight.get(server) ?? 0) + 1);
  if (request.prefixDigest !== '') {
    recordPrefixServer(prefixServers, request.prefixDigest, server);
  }
  sendGrant(state, placement, turn);
  turn.perform({
    type: 'record-decision',
    decision: {
      subject: 'request',
      name: request.requestId,
      decision: DECISION_BY_SLOT_STATE[view.slotState],
      inputs: {
        server,
        owner: view.owner,
        adapter: placement.key,
        class: request.priorityClass,
        busy: view.busy,
        expectedWaitMs: Math.round(waitMs),
        costMs: Math.round(costMs),
      },
    },
  });
};

/** Removes a placement that is no longer in use, and returns it. */
export const removePlacement = (
  state: CoreState,
  {placementId}: PlacementFinished,
): Placement | undefined => {
  const {placements, inFlight, heldPlacements} = state.routing;
  const placement = placements.get(placementId);
  if (!placement) {
    return undefined;
  }
  placements.delete(placementId);
  if (placement.server !== undefined) {
    const count = (inFlight.get(placement.server) ?? 1) - 1;
    if (count > 0) {
      inFlight.set(placement.server, count);
    } else {
      inFlight.delete(placement.server);
    }
    return placement;
  }
  const group = heldPlacements.get(placement.key) ?? [];
  const remaining = group.filter((other) => other !== placement);
  if (remaining.length > 0) {
    heldPlacements.set(placement.key, remaining);
  } else {
    heldPlacements.delete(placement.key);
  }
  return placement;
};

/** Removes placements whose ingress host never reported their end. */
export const removeStalePlacements = (state: CoreState, turn: Turn): void => {
  const limitMs = turn.at.monotonicMs - PLACEMENT_RETENTION_MS;
  for (const placement of [...state.routing.placements.values()]) {
    if (placement.deadlineMs < limitMs) {
      removePlacement(state, {
        type: 'placement-finished',
        placementId: placement.placementId,
      });
    }
  }
};

/** Sends the ingress host the server of a granted placement. */
export const sendGrant = (
  state: CoreState,
  placement: Placement,
  turn: Turn,
): void => {
  const {placementId, request, ingress, server} = placement;
  const owner = server === undefined ? undefined : ownerOf(state, server);
  if (server === undefined || owner === undefined) {
    return;
  }
  turn.perform({
    type: 'send-peer-message',
    to: ingress,
    message: {
      type: 'placement-granted',
      placementId,
      requestId: request.requestId,
      server,
      owner,
    },
  });
};

const DECISION_BY_SLOT_STATE: Readonly<
  Record<ServerView['slotState'], string>
> = {
  ready: 'routed-to-resident',
  loading: 'routed-to-loading',
  absent: 'routed-with-load',
};

const viewCandidates = (
  state: CoreState,
  {request, key}: Placement,
  turn: Turn,
): readonly ServerView[] => {
  const views: ServerView[] = [];
  const context = {
    nowMs: turn.at.monotonicMs,
    loadWeight: requestWeight(state, request),
  };
  for (const description of candidateServers(state, request)) {
    const view = viewServer(state, description, key, context);
    if (view) {
      views.push(view);
      requestSummary(state, view, turn);
    }
  }
  return views;
};

/** Subscribes to a remote server's summaries, or renews the subscription. */
const requestSummary = (
  state: CoreState,
  {owner, description}: ServerView,
  turn: Turn,
): void => {
  const {server} = description;
  const nowMs = turn.at.monotonicMs;
  const {summaryRequestedMs} = state.routing;
  const requestedMs = summaryRequestedMs.get(server) ?? -Infinity;
  if (
    owner === state.settings.host ||
    nowMs < requestedMs + SUMMARY_REFRESH_MS
  ) {
    return;
  }
  summaryRequestedMs.set(server, nowMs);
  const message = {type: 'summary-wanted', server} as const;
  turn.perform({type: 'send-peer-message', to: owner, message});
};

/** Records the server of a prefix; evicts the least recently recorded one. */
const recordPrefixServer = (
  prefixes: Map<string, ServerId>,
  digest: string,
  server: ServerId,
): void => {
  prefixes.delete(digest);
  prefixes.set(digest, server);
  const [oldest] = prefixes.keys();
  if (prefixes.size > PREFIX_CAPACITY && oldest !== undefined) {
    prefixes.delete(oldest);
  }
};

const findPrefixServer = (
  state: CoreState,
  digest: string,
): ServerId | undefined =>
  digest === '' ? undefined : state.routing.prefixServers.get(digest);
