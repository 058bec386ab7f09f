import type {Clock, Logger, TimerService} from '@basilworks/daemon';
import type {
  FailureTallies,
  FleetLoad,
  Membership,
  ServerOutliers,
  ServerTable,
  StoreViews,
} from '@basilworks/dispatch';

import type {EntryHostMetrics} from './metrics.js';
import type {PlatformProtocol} from './ports.js';
import type {EntryHostSettings} from './settings-schema.js';

/** What the parts of an entry host share. */
export interface EntryHostContext {
  readonly settings: EntryHostSettings;
  readonly platform: PlatformProtocol;
  readonly clock: Clock;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: EntryHostMetrics;
  readonly membership: Membership;
  readonly views: StoreViews;
  readonly servers: ServerTable;
  readonly fleetLoad: FleetLoad;
  /** What became of this host's requests at the servers. */
  readonly tallies: FailureTallies;
  readonly outliers: ServerOutliers;
  /** Aborted when the process ends. */
  readonly signal: AbortSignal;
  /** Returns 0 to 1. */
  readonly random: () => number;
}
