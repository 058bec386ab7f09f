import type {Area} from '../area.js';

/** Handlers of the residency area. */
export const residencyArea: Area = {
  name: 'residency',
  handlers: {},
  messageHandlers: {},
};
