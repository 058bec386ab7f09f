import type {Clock, Logger, TimerService} from '@basilworks/daemon';
import type {
  FailureTallies,
  FleetLoad,
  Membership,
  PromptReports,
  ServerOutliers,
  ServerPaths,
  ServerTable,
  StoreViews,
} from '@basilworks/dispatch';

import type {EntryHostMetrics} from './metrics.js';
import type {PlatformProtocol} from './ports.js';
import type {EntryHostSettings} from './settings-schema.js';

/** Dependencies shared by the components of an entry host. */
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
  /** Counts of this host's attempts and failures by server. */
  readonly tallies: FailureTallies;
  /** Servers excluded from selection because their failures stand out. */
  readonly outliers: ServerOutliers;
  /** How this host reaches servers. */
  readonly paths: ServerPaths;
  /** Prefilled prompts and long event gaps to be reported to issuers. */
  readonly promptReports: PromptReports;
  /** Aborted when the host closes. */
  readonly signal: AbortSignal;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}
