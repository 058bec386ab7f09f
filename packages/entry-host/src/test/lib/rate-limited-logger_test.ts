import type {Logger} from '@basilworks/daemon';
import test from 'ava';

import {RateLimitedLogger} from '../../lib/rate-limited-logger.js';

test('drops lines above the rate limit, logs how many, and recovers', (t) => {
  const lines: string[] = [];
  const note = (message: string, fields?: object) => {
    lines.push(`${message} ${JSON.stringify(fields ?? {})}`);
  };
  const inner: Logger = {error: note, warn: note, info: note, debug: note};
  let nowMs = 0;
  const clock = {now: () => ({monotonicMs: nowMs, wallMs: nowMs})};
  const logger = new RateLimitedLogger(inner, clock);
  for (let index = 0; index < 5_000; index += 1) {
    logger.info('flood');
  }
  const written = lines.length;
  t.true(written < 1_000);
  logger.error('always');
  t.is(lines.at(-1), 'always {}');
  nowMs = 1_000;
  logger.info('after');
  t.deepEqual(lines.slice(-2), [
    `log lines dropped {"lines":${5_000 - written}}`,
    'after {}',
  ]);
});
