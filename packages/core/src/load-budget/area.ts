import type {Area} from '../area.js';

/** Handlers of the load-budget area. */
export const loadBudgetArea: Area = {
  name: 'load-budget',
  handlers: {},
  messageHandlers: {},
};
