import type {Area} from '../area.js';

/** Handlers of the membership area. */
export const membershipArea: Area = {
  name: 'membership',
  handlers: {},
  messageHandlers: {},
};
