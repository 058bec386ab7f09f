import type {CallerRequest} from '../../front/caller-request.js';

/** Names of headers, as tests of sends use them. */
export const HEADERS = {
  requestId: 'X-Id',
  model: 'X-Model',
  deadlineMs: 'X-Deadline',
  expectServer: 'X-Expect',
  expectVersion: 'X-Version',
  priority: 'X-Priority',
  lastEventId: 'Last-Event-Id',
  notRun: 'X-Not-Run',
  signature: 'X-Signature',
  serverId: 'X-Server',
  serverLoad: 'X-Load',
  reserved: [],
};

export const REQUEST: CallerRequest = {
  id: 'r',
  method: 'GET',
  target: '/',
  host: 'h',
  rawHeaders: [],
  body: Buffer.alloc(0),
  model: undefined,
  callerWaitMs: undefined,
  arrivedAt: {monotonicMs: 0, wallMs: 0},
};
