import type {Area} from '../area.js';

/** Handlers of the deferred area. */
export const deferredArea: Area = {
  name: 'deferred',
  handlers: {},
  messageHandlers: {},
};
