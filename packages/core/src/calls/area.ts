import type {Area} from '../area.js';

/** Handlers of the calls area. */
export const callsArea: Area = {
  name: 'calls',
  handlers: {},
  messageHandlers: {},
};
