import type {Area} from '../area.js';

/** Handlers of the routing area. */
export const routingArea: Area = {
  name: 'routing',
  handlers: {},
  messageHandlers: {},
};
