import {readFileSync} from 'node:fs';

import test from 'ava';

import {parseSettings, readSettings} from '../settings.js';

const EXAMPLE = new URL('../../example-settings.jsonc', import.meta.url);

test('the example file has no faults', (t) => {
  const text = readFileSync(EXAMPLE, 'utf8');
  const settings = parseSettings('example', text)._unsafeUnwrap();
  t.is(settings.host, 'entry-1');
  t.is(settings.limits.bodyBytes, 1_048_576);
});

test('names every fault with its key and line', (t) => {
  const text = `// comment
{
  "host": "",
  "zone": "fairhaven",
  "callerAddress": "localhost:80",
  "peerAddress": "10.0.0.7:90",
  "objectApiUrl": "http://10.0.0.8:1",
  "members": [
    {"member": "crew", "tokenDigest": "secret"},
  ],
  "wieghts": 1,
}`;
  const {faults} = parseSettings('file', text)._unsafeUnwrapErr();
  t.deepEqual(faults.map(({key, line}) => `${line} ${key}`).sort(), [
    '11 wieghts',
    '2 hostListUrl',
    '3 host',
    '5 callerAddress',
    '9 members[0].tokenDigest',
  ]);
  const problems = new Map(faults.map(({key, problem}) => [key, problem]));
  t.is(problems.get('hostListUrl'), 'missing, expected string');
  t.is(problems.get('wieghts'), 'unknown key');
  t.regex(problems.get('callerAddress') ?? '', /expected an IP number/);
});

test('names the line of each syntax fault', (t) => {
  const {faults} = parseSettings('file', '{\n"a": ]\n}')._unsafeUnwrapErr();
  t.is(faults[0]?.line, 2);
  t.regex(faults[0]?.problem ?? '', /not JSON with comments/);
});

test('a missing file is a fault of the file', (t) => {
  const {message} = readSettings('/nowhere/settings')._unsafeUnwrapErr();
  t.regex(message, /^\/nowhere\/settings:1: cannot be read/);
});
