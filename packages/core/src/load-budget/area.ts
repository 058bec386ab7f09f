import type {Area, Sender} from '../area.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {LoadReleased, LoadRequested} from './messages.js';
import {nextLoad} from './order.js';
import {expectedLoadWaitMs} from './selectors.js';
import type {LoadBudgetState, PendingLoad} from './state.js';

/** Time for which the holder keeps a wish that its owner does not repeat. */
const REQUEST_VALIDITY_MS = 5_000;

/** Time after which a grant that was not released no longer counts. */
const GRANT_VALIDITY_MS = 10_000;

const TIMER = 'next-load';

/** Handlers of the load-budget area. */
export const loadBudgetArea: Area = {
  name: 'load-budget',
  handlers: {
    'timer-fired': (state, _event, turn) => {
      state.loadBudget.timerSet = false;
      grantLoads(state, turn);
    },
  },
  messageHandlers: {
    'load-requested': (state, message, sender, turn) => {
      requestLoad(state.loadBudget, message, sender, turn);
      grantLoads(state, turn);
    },
    'load-released': (state, message, _sender, turn) => {
      releaseLoad(state.loadBudget, message, turn);
      grantLoads(state, turn);
    },
  },
};

const requestLoad = (
  budget: LoadBudgetState,
  message: LoadRequested,
  sender: Sender,
  turn: Turn,
): void => {
  const nowMs = turn.at.monotonicMs;
  const {loadId} = message;
  const granted = budget.granted.get(loadId);
  if (granted || message.inTransit) {
    const expiresMs = nowMs + GRANT_VALIDITY_MS;
    budget.granted.set(loadId, {
      loadId,
      owner: sender.host,
      grantedMs: granted?.grantedMs ?? nowMs,
      expiresMs,
    });
    if (!message.inTransit) {
      sendGrant(sender.host, message, 0, turn);
    }
    return;
  }
  const pending = budget.pending.get(loadId);
  budget.pending.set(loadId, {
    loadId,
    owner: sender.host,
    server: message.server,
    wanted: message.wanted,
    urgency: message.urgency,
    dueMs: nowMs + message.slackMs,
    expiresMs: nowMs + REQUEST_VALIDITY_MS,
    askedMs: pending?.askedMs ?? nowMs,
  });
};

const releaseLoad = (
  budget: LoadBudgetState,
  {loadId, used}: LoadReleased,
  turn: Turn,
): void => {
  budget.pending.delete(loadId);
  if (budget.granted.delete(loadId) && !used) {
    refillTokens(budget, turn.at.monotonicMs);
    budget.tokens = Math.min(burstOf(budget), budget.tokens + 1);
  }
};

/** Grants loads while there are tokens and room in transit. */
const grantLoads = (state: CoreState, turn: Turn): void => {
  const budget = state.loadBudget;
  const nowMs = turn.at.monotonicMs;
  refillTokens(budget, nowMs);
  dropExpired(budget, nowMs);
  while (budget.tokens >= 1 && hasRoomInTransit(budget)) {
    const load = nextLoad(budget, nowMs);
    if (!load) {
      break;
    }
    grantLoad(state, load, turn);
  }
  setTimerForNext(budget, turn);
};

const grantLoad = (state: CoreState, load: PendingLoad, turn: Turn): void => {
  const budget = state.loadBudget;
  const nowMs = turn.at.monotonicMs;
  budget.tokens -= 1;
  budget.pending.delete(load.loadId);
  budget.granted.set(load.loadId, {
    loadId: load.loadId,
    owner: load.owner,
    grantedMs: nowMs,
    expiresMs: nowMs + GRANT_VALIDITY_MS,
  });
  sendGrant(load.owner, load, expectedLoadWaitMs(state, 0), turn);
};

const sendGrant = (
  to: string,
  load: Pick<PendingLoad, 'loadId' | 'server'>,
  backlogMs: number,
  turn: Turn,
): void => {
  turn.perform({
    type: 'send-peer-message',
    to,
    message: {
      type: 'load-granted',
      loadId: load.loadId,
      server: load.server,
      backlogMs,
    },
  });
};

const hasRoomInTransit = (budget: LoadBudgetState): boolean =>
  budget.granted.size < budget.settings.weightStore.transitLimit;

/** Most loads that an idle store saves up. */
const burstOf = (budget: LoadBudgetState): number =>
  budget.settings.weightStore.fullSpeedLoads;

const refillTokens = (budget: LoadBudgetState, nowMs: number): void => {
  const passedMs = Math.max(0, nowMs - budget.tokensAtMs);
  const refill =
    (passedMs * budget.settings.weightStore.loadsPerSecond) / 1_000;
  budget.tokens = Math.min(burstOf(budget), budget.tokens + refill);
  budget.tokensAtMs = nowMs;
};

const dropExpired = (budget: LoadBudgetState, nowMs: number): void => {
  for (const index of [budget.pending, budget.granted]) {
    for (const [loadId, {expiresMs}] of index) {
      if (expiresMs <= nowMs) {
        index.delete(loadId);
      }
    }
  }
};

/** Wakes up for the next token, or for the expiry of a grant. */
const setTimerForNext = (budget: LoadBudgetState, turn: Turn): void => {
  if (budget.pending.size === 0 || budget.timerSet) {
    return;
  }
  const {loadsPerSecond, loadMs} = budget.settings.weightStore;
  const missing = Math.max(0, 1 - budget.tokens);
  const tokenMs = (missing * 1_000) / loadsPerSecond;
  const delayMs = Math.ceil(hasRoomInTransit(budget) ? tokenMs : loadMs);
  budget.timerSet = true;
  turn.perform({
    type: 'set-timer',
    area: 'load-budget',
    timer: TIMER,
    delayMs: Math.max(1, delayMs),
  });
};
