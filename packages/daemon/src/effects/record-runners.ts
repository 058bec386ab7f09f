import type {DaemonContext} from '../context.js';
import type {RunnersOf} from '../runner-table.js';

/** Audit trail, decisions for `explain`, and metrics. */
export const createRecordRunners = ({
  settings,
  auditTrail,
  decisions,
  metrics,
  logger,
}: DaemonContext): RunnersOf<
  'audit' | 'record-decision' | 'observe-metric'
> => ({
  audit: ({entry}, at) => {
    auditTrail.add({...entry, host: settings.host, atWallMs: at.wallMs});
    logger.info('audit', entry);
  },
  'record-decision': ({decision}, at) => {
    decisions.add({...decision, atWallMs: at.wallMs});
  },
  'observe-metric': (effect) => {
    metrics.observe(effect);
  },
});
