import type {EntryHostContext} from '../context.js';
import type {ServerCrash} from './crash-detector.js';

/** Keys that a log line on a crash lists at most. */
const MAXIMUM_LOGGED_KEYS = 12;

/** Logs a crash with the keys that most of the lost sends had. */
export const logCrash = (
  {logger}: Pick<EntryHostContext, 'logger'>,
  {server, sends}: ServerCrash,
): void => {
  const counts = new Map<string, number>();
  for (const {keys} of sends) {
    for (const key of keys) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  const keys = [...counts]
    .sort(([, first], [, second]) => second - first)
    .slice(0, MAXIMUM_LOGGED_KEYS)
    .map(([key, count]) => `${key}:${count}`);
  logger.info('server crashed', {
    server: server.entry.id,
    service: server.entry.service,
    lostSends: sends.length,
    keys: keys.join(','),
  });
};
