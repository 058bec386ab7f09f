import type {HeaderNames} from '../../ports.js';

/** Header names that tests use. */
export const HEADER_NAMES: HeaderNames = {
  requestId: 'X-Id',
  deadlineMs: 'X-Deadline',
  model: 'X-Model',
  promptParts: 'X-Parts',
  signature: 'X-Signature',
  notRun: 'X-Not-Run',
  expectServer: 'X-Expect',
  serverId: 'X-Server',
  expectVersion: 'X-Version',
  priority: 'X-Priority',
  lastEventId: 'Last-Event-Id',
  resumes: 'X-Resumes',
  serverLoad: 'X-Load',
  key: 'X-Key',
  tenant: 'X-Tenant',
  tokenUsage: 'X-Tokens',
  reserved: [],
};
