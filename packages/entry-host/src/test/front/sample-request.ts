import type {CallerRequest} from '../../front/caller-request.js';

/** A request without a body. */
export const SAMPLE_REQUEST: CallerRequest = {
  id: 'r',
  method: 'GET',
  target: '/',
  host: 'h',
  rawHeaders: [],
  body: Buffer.alloc(0),
  model: undefined,
  callerTimeoutMs: undefined,
  arrivedAt: {monotonicMs: 0, wallMs: 0},
};
