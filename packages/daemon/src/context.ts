import type {AuditEntry, CoreIdentity, Decision} from '@basilworks/core';

import type {BoundedRecord} from './lib/bounded-record.js';
import type {HostDirectory} from './lib/host-directory.js';
import type {Logger} from './logger.js';
import type {Loop} from './loop.js';
import type {Metrics} from './metrics.js';
import type {
  EngineClient,
  HostListSource,
  ObjectApi,
  PlainServiceClient,
} from './platform/index.js';
import type {Readiness} from './readiness.js';
import type {DaemonSettings} from './settings-schema.js';
import type {TimerService} from './timer-service.js';

/** The outside systems, each behind its interface. */
export interface Platform {
  readonly objectApi: ObjectApi;
  readonly hostList: HostListSource;
  readonly engines: EngineClient;
  readonly plainServices: PlainServiceClient;
}

/** A decision with the time of the host that made it. */
export interface RecordedDecision extends Decision {
  readonly atWallMs: number;
}

/** What the parts of the daemon share. */
export interface DaemonContext {
  readonly settings: DaemonSettings;
  readonly identity: CoreIdentity;
  readonly loop: Loop;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readiness: Readiness;
  readonly platform: Platform;
  readonly directory: HostDirectory;
  readonly auditTrail: BoundedRecord<AuditEntry>;
  readonly decisions: BoundedRecord<RecordedDecision>;
  /** Aborted when the process ends; parts end their work on it. */
  readonly signal: AbortSignal;
}
