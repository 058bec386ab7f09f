import type {Area} from '../area.js';

/** Handlers of the configuration area. */
export const configurationArea: Area = {
  name: 'configuration',
  handlers: {},
  messageHandlers: {},
};
