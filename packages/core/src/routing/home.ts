import {admitPlacement} from '../admission/admit.js';
import type {Sender} from '../area.js';
import {adapterVersionKey} from '../identifiers.js';
import type {Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {Choice} from './choose-server.js';
import {holdPlacement, shouldHold} from './held.js';
import type {PlacementRequested} from './messages.js';
import {chooseFor, grantPlacement, sendGrant} from './placements.js';
import type {Placement} from './state.js';

/** Time after which a caller may try again when no server can run it. */
const NO_SERVER_RETRY_MS = 2_000;

const noServer: Refusal = {
  code: 'no-server',
  notRun: true,
  detail: 'no server of the pool takes work',
  retryAfterMs: NO_SERVER_RETRY_MS,
};

/** Answers an ingress host that asks for a server. */
export const placeRequest = (
  state: CoreState,
  message: PlacementRequested,
  sender: Sender,
  turn: Turn,
): void => {
  const known = state.routing.placements.get(message.placementId);
  if (known) {
    repeatAnswer(state, known, sender, turn);
    return;
  }
  const placement = newPlacement(message, sender, turn);
  const choice = chooseFor(state, placement, turn);
  const refusal = choice ? refusalOf(state, placement, choice, turn) : noServer;
  if (!choice || refusal) {
    refuse(placement, refusal ?? noServer, turn);
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

const refusalOf = (
  state: CoreState,
  placement: Placement,
  choice: Choice,
  turn: Turn,
): Refusal | undefined =>
  state.settings.mechanisms.admission
    ? admitPlacement(placement, choice, turn)
    : undefined;

const newPlacement = (
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
  askedMs: turn.at.monotonicMs,
  server: undefined,
  grantedMs: 0,
});

const repeatAnswer = (
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

const refuse = (
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
