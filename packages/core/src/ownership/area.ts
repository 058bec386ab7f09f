import type {Area} from '../area.js';

/** Handlers of the ownership area. */
export const ownershipArea: Area = {
  name: 'ownership',
  handlers: {},
  messageHandlers: {},
};
