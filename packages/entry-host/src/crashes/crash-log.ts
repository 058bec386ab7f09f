import type {EntryHostContext} from '../context.js';
import type {ServerCrash} from './crash-detector.js';

/** Prompt parts that a log line on a crash lists at most. */
const MAXIMUM_LOGGED_PARTS = 12;

/** Logs a crash with the prompt parts that most of the lost sends had. */
export const logCrash = (
  {logger}: Pick<EntryHostContext, 'logger'>,
  {server, sends}: ServerCrash,
): void => {
  const counts = new Map<string, number>();
  for (const {promptParts} of sends) {
    for (const part of promptParts) {
      counts.set(part, (counts.get(part) ?? 0) + 1);
    }
  }
  const parts = [...counts]
    .sort(([, first], [, second]) => second - first)
    .slice(0, MAXIMUM_LOGGED_PARTS)
    .map(([part, count]) => `${part}:${count}`);
  logger.info('server crashed', {
    server: server.entry.id,
    service: server.entry.service,
    lostSends: sends.length,
    promptParts: parts.join(','),
  });
};
