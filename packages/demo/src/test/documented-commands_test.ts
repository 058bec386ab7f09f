import test from 'ava';

import {
  commandsOf,
  documentedCommands,
  runDocumentedCommands,
} from '../documented-commands.js';

test('commands are found in shell blocks only, also in lists', (t) => {
  const page = [
    '```sh',
    'basilworks hosts',
    'npm test',
    '```',
    '1. item',
    '   ```sh',
    '   basilworks explain server s-1',
    '   ```',
    '```text',
    'basilworks audit',
    '```',
  ].join('\n');
  t.deepEqual(
    commandsOf('page.md', page).map(({words}) => words.join(' ')),
    ['hosts', 'explain server s-1'],
  );
});

test('the operators pages show commands', async (t) => {
  t.true((await documentedCommands()).length > 20);
});

test('a command that does not exist is reported', async (t) => {
  const commands = [{page: 'page.md', words: ['no-such-command']}];
  const failed = await runDocumentedCommands(commands, {
    host: '127.0.0.1:1',
    token: 'token',
    sheet: '',
    requestId: 'request',
  });
  t.is(failed.length, 1);
  t.not(failed[0]?.exitCode, 0);
});
