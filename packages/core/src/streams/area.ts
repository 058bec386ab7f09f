import type {Area} from '../area.js';

/** Handlers of the streams area. */
export const streamsArea: Area = {
  name: 'streams',
  handlers: {},
  messageHandlers: {},
};
