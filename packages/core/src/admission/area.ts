import type {Area} from '../area.js';

/** Handlers of the admission area. */
export const admissionArea: Area = {
  name: 'admission',
  handlers: {},
  messageHandlers: {},
};
