import type {ServerId} from '../identifiers.js';
import {ownerOf} from '../ownership/selectors.js';
import {requestWeight} from '../residency/urgency.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {candidateServers} from './candidates.js';
import {chooseServer, type Choice} from './choose-server.js';
import type {PlacementFinished} from './messages.js';
import {viewServer, type ServerView} from './server-view.js';
import type {Placement} from './state.js';

/** Time for which summaries of a server keep coming after one asking. */
const SUMMARY_REFRESH_MS = 10_000;

/** Time for which an unfinished placement is kept past its deadline. */
const PLACEMENT_RETENTION_MS = 60_000;

/** Prefixes that a home remembers. */
const PREFIX_CAPACITY = 10_000;

/** Returns the best server of the moment for a placement. */
export const chooseFor = (
  state: CoreState,
  placement: Placement,
  turn: Turn,
): Choice | undefined => {
  const {request, excluded} = placement;
  const views = viewCandidates(state, placement, turn).filter(
    ({description}) => !excluded.includes(description.server),
  );
  return chooseServer(views, {
    settings: state.settings,
    request,
    prefixServer: prefixServerOf(state, request.prefixDigest),
  });
};

/** Tells the ingress host where to run a placement. */
export const grantPlacement = (
  state: CoreState,
  placement: Placement,
  {view, waitMs, costMs}: Choice,
  turn: Turn,
): void => {
  const {server} = view.description;
  const {inFlight, prefixServers} = state.routing;
  const {request} = placement;
  placement.server = server;
  placement.grantedMs = turn.at.monotonicMs;
  inFlight.set(server, (inFlight.get(server) ?? 0) + 1);
  if (request.prefixDigest !== '') {
    rememberPrefix(prefixServers, request.prefixDigest, server);
  }
  sendGrant(state, placement, turn);
  turn.perform({
    type: 'record-decision',
    decision: {
      subject: 'request',
      name: request.requestId,
      decision: DECISION_BY_SLOT[view.slot],
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

/** Forgets a placement that is no longer in use. */
export const finishPlacement = (
  state: CoreState,
  {placementId}: PlacementFinished,
): Placement | undefined => {
  const {placements, inFlight, held} = state.routing;
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
  const group = held.get(placement.key) ?? [];
  const remaining = group.filter((one) => one !== placement);
  if (remaining.length > 0) {
    held.set(placement.key, remaining);
  } else {
    held.delete(placement.key);
  }
  return placement;
};

/** Drops placements whose ingress never said that they ended. */
export const dropStalePlacements = (state: CoreState, turn: Turn): void => {
  const limitMs = turn.at.monotonicMs - PLACEMENT_RETENTION_MS;
  for (const placement of [...state.routing.placements.values()]) {
    if (placement.deadlineMs < limitMs) {
      finishPlacement(state, {
        type: 'placement-finished',
        placementId: placement.placementId,
      });
    }
  }
};

/** Tells the ingress host where a granted placement runs. */
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

const DECISION_BY_SLOT: Readonly<Record<ServerView['slot'], string>> = {
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
      askForSummary(state, view, turn);
    }
  }
  return views;
};

const askForSummary = (
  state: CoreState,
  {owner, description}: ServerView,
  turn: Turn,
): void => {
  const {server} = description;
  const nowMs = turn.at.monotonicMs;
  const {summaryAskedMs} = state.routing;
  const askedMs = summaryAskedMs.get(server) ?? -Infinity;
  if (owner === state.settings.host || nowMs < askedMs + SUMMARY_REFRESH_MS) {
    return;
  }
  summaryAskedMs.set(server, nowMs);
  const message = {type: 'summary-wanted', server} as const;
  turn.perform({type: 'send-peer-message', to: owner, message});
};

const rememberPrefix = (
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

const prefixServerOf = (
  state: CoreState,
  digest: string,
): ServerId | undefined =>
  digest === '' ? undefined : state.routing.prefixServers.get(digest);
