// Reads log lines of all entry hosts from standard input, and prints for each
// route how many requests were late, refused or failed, by cause.
//
//     node scripts/explain-losses.mjs < hosts.log

import {createInterface} from 'node:readline';

/** Length of the intervals in which losses are counted, milliseconds. */
const INTERVAL_MS = 2_000;

/**
 * Gaps of several streams on one server that end within this time have one
 * cause, milliseconds.
 */
const SAME_GAP_MS = 40;

/** Causes with the test that assigns a request to them; the first match wins. */
const CAUSES = [
  ['refused', ({outcome}) => outcome === 'refused'],
  [
    'caller left before its request was sent',
    ({outcome, sends}) => outcome === 'abandoned' && sends === 0,
  ],
  ['caller left', ({outcome}) => outcome === 'abandoned'],
  ['timeout', ({status}) => status === 504],
  ['failed by its server', ({outcome}) => outcome === 'failed by its server'],
  [
    'broken off in the answer',
    ({outcome, headMs}) => outcome === 'failed' && headMs !== undefined,
  ],
  ['failed without an answer', ({outcome}) => outcome === 'failed'],
  [
    'first event late: waited for other prompts',
    ({headMs, targetMs, promptWaitMs}) =>
      headMs > targetMs && promptWaitMs > targetMs / 2,
  ],
  [
    'first event late: waited for an adapter or a permit',
    ({headMs, targetMs, sentMs}) => headMs > targetMs && sentMs > targetMs / 2,
  ],
  [
    'first event late: at its server',
    ({headMs, targetMs}) => headMs > targetMs,
  ],
  [
    'gap at its server, several hosts',
    ({longestGapMs, gapTargetMs, sharedBy}) =>
      longestGapMs > gapTargetMs && sharedBy > 1,
  ],
  [
    'gap seen by one host only',
    ({longestGapMs, gapTargetMs}) => longestGapMs > gapTargetMs,
  ],
];

const requests = [];
for await (const line of createInterface({input: process.stdin})) {
  const start = line.indexOf('{');
  if (start < 0 || !line.includes('"request ended"')) {
    continue;
  }
  try {
    requests.push(JSON.parse(line.slice(start)));
  } catch {
    // A line that was cut off names no request.
  }
}

/** When the longest gap of a request ended, milliseconds. */
const gapEndMs = ({time, elapsedMs, sentMs, longestGapAtMs}) =>
  Date.parse(time) - elapsedMs + sentMs + longestGapAtMs;

const gaps = new Map();
for (const request of requests) {
  if (request.longestGapMs > request.gapTargetMs) {
    const key = `${request.server} ${Math.round(gapEndMs(request) / SAME_GAP_MS)}`;
    gaps.set(key, (gaps.get(key) ?? new Set()).add(request.host));
    request.gapKey = key;
  }
}

const startMs = Math.min(
  ...requests.map(({time, elapsedMs}) => Date.parse(time) - elapsedMs),
);
const table = new Map();
const intervals = new Map();
for (const request of requests) {
  request.sharedBy = gaps.get(request.gapKey)?.size ?? 0;
  const cause = CAUSES.find(([, applies]) => applies(request))?.[0];
  if (cause === undefined) {
    continue;
  }
  const key = `${request.route}: ${cause}`;
  table.set(key, (table.get(key) ?? 0) + 1);
  const sinceMs = Date.parse(request.time) - request.elapsedMs - startMs;
  const interval = Math.floor(sinceMs / INTERVAL_MS) * (INTERVAL_MS / 1_000);
  const causes = intervals.get(interval) ?? new Map();
  intervals.set(interval, causes);
  causes.set(cause, (causes.get(cause) ?? 0) + 1);
}

const byCount = ([, first], [, second]) => second - first;
process.stdout.write('requests that were late, refused or failed\n');
for (const [key, count] of [...table].sort(byCount)) {
  process.stdout.write(`${String(count).padStart(7)}  ${key}\n`);
}
process.stdout.write('by the second in which they arrived\n');
for (const [interval, causes] of [...intervals].sort(([a], [b]) => a - b)) {
  const text = [...causes]
    .sort(byCount)
    .map(([cause, count]) => `${count} ${cause}`)
    .join('; ');
  process.stdout.write(`${String(interval).padStart(7)}  ${text}\n`);
}
