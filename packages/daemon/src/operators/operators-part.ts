import type {DaemonContext} from '../context.js';
import type {Part, PartTools} from '../part.js';

/** The operators' interface. */
export const createOperatorsPart = (
  _context: DaemonContext,
  _tools: PartTools,
): Part<'sheet-result'> => ({
  runners: {'sheet-result': () => undefined},
  registerRoutes: () => undefined,
});
