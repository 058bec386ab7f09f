import test from 'ava';

import {createLogger, type LogFields} from '../index.js';

// Lines of failed reads of the store bore the error's text in place of their own
// message, so that nobody who looked for them by name found them.
test('no field replaces the time, level, host or message of a line', (t) => {
  const lines: string[] = [];
  const logger = createLogger('h1', 'info', (line) => lines.push(line));
  const fields = {
    message: 'other',
    host: 'h2',
    level: 'x',
    time: 'y',
    kind: 'k',
  };
  logger.warn('store read fails', fields as unknown as LogFields);
  const line = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
  t.is(line.message, 'store read fails');
  t.is(line.host, 'h1');
  t.is(line.level, 'warn');
  t.not(line.time, 'y');
  t.is(line.kind, 'k');
});

test('a line holds the fields that are given, after its own', (t) => {
  const lines: string[] = [];
  const logger = createLogger('h"1', 'info', (line) => lines.push(line));
  logger.info('a "b"', {of: 'c\n', count: 2, none: undefined});
  logger.error('alone');
  logger.error('empty', {none: undefined});
  logger.debug('below the level');
  const ends = lines.map((line) => line.replace(/^\{"time":"[^"]+Z",/, ''));
  t.deepEqual(ends, [
    '"level":"info","host":"h\\"1","message":"a \\"b\\"","of":"c\\n","count":2}\n',
    '"level":"error","host":"h\\"1","message":"alone"}\n',
    '"level":"error","host":"h\\"1","message":"empty"}\n',
  ]);
});
