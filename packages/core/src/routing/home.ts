import {admitPlacement} from '../admission/admit.js';
import type {Sender} from '../area.js';
import {adapterVersionKey} from '../identifiers.js';
import type {Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {ServerChoice} from './choose-server.js';
import {holdPlacement, shouldHold} from './held-placements.js';
import type {PlacementRequested} from './messages.js';
import {
  choosePlacementServer,
  grantPlacement,
  sendGrant,
} from './placements.js';
import type {Placement} from './state.js';

/** Time after which a caller may retry when no server is available. */
const NO_SERVER_RETRY_MS = 2_000;

const NO_SERVER_REFUSAL: Refusal = {
  code: 'no-server',
  notRun: true,
  detail: 'no server of the pool takes work',
  retryAfterMs: NO_SERVER_RETRY_MS,
};

/**
 * Handles an ingress host's request for a server: grants, holds or refuses the
 * placement. A request for a known placement gets the same answer again.
 */
export const placeRequest = (
  state: CoreState,
  message: PlacementRequested,
  sender: Sender,
  turn: Turn,
): void => {
  const existing = state.routing.placements.get(message.placementId);
  if (existing) {
    resendAnswer(state, existing, sender, turn);
    return;
  }
  const placement = createPlacement(message, sender, turn);
  const choice = choosePlacementServer(state, placement, turn);
  const refusal = choice
    ? checkAdmission(state, placement, choice, turn)
    : NO_SERVER_REFUSAL;
  if (!choice || refusal) {
    refusePlacement(placement, refusal ?? NO_SERVER_REFUSAL, turn);
    return;
  }
  state.routing.placements.set(placement.placementId, placement);
  if (shouldHold(state, placement, choice, turn)) {
    holdPlacement(state, placement, turn);
    sendQueued(placement, turn);
  } else {
    grantPlacement(state, placement, choice, turn);
  }
};

/** Returns a refusal if the placement is not admitted, else undefined. */
const checkAdmission = (
  state: CoreState,
  placement: Placement,
  choice: ServerChoice,
  turn: Turn,
): Refusal | undefined =>
  state.settings.mechanisms.admission
    ? admitPlacement(placement, choice, turn)
    : undefined;

const createPlacement = (
  message: PlacementRequested,
  sender: Sender,
  turn: Turn,
): Placement => ({
  placementId: message.placementId,
  request: message.request,
  key: adapterVersionKey(message.request),
  ingress: sender.host,
  deadlineMs: turn.at.monotonicMs + message.remainingMs,
  excluded: message.excluded,
  requestedMs: turn.at.monotonicMs,
  server: undefined,
  grantedMs: 0,
});

const resendAnswer = (
  state: CoreState,
  placement: Placement,
  sender: Sender,
  turn: Turn,
): void => {
  if (placement.ingress !== sender.host) {
    return;
  }
  if (placement.server === undefined) {
    sendQueued(placement, turn);
  } else {
    sendGrant(state, placement, turn);
  }
};

const sendQueued = (placement: Placement, turn: Turn): void => {
  const {placementId, ingress, request} = placement;
  const {requestId} = request;
  turn.perform({
    type: 'send-peer-message',
    to: ingress,
    message: {type: 'placement-queued', placementId, requestId},
  });
};

const refusePlacement = (
  {placementId, request, ingress}: Placement,
  refusal: Refusal,
  turn: Turn,
): void => {
  const {requestId} = request;
  turn.perform({
    type: 'send-peer-message',
    to: ingress,
    message: {type: 'placement-refused', placementId, requestId, refusal},
  });
  turn.perform({
    type: 'record-decision',
    decision: {
      subject: 'request',
      name: requestId,
      decision: 'refused',
      inputs: {code: refusal.code, detail: refusal.detail},
    },
  });
};
