/** A client of the deployment that reads streams, as PROTOCOL.md tells. */
import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {HOST_NAME, MODEL} from './deployment.mjs';

const BODY = 'a question';

/**
 * Sends one client attempt on a new connection. Resolves to its status, the
 * events that came, whether the answer ended whole, and `Retry-After`.
 */
export const attempt = (
  deployment,
  host,
  {id, path, adapter, deadlineMs, resumes, lastEventId, onEvent},
) =>
  new Promise((resolve) => {
    const [address, port] = host.front.split(':');
    const events = [];
    let status = 0;
    let retryAfterS;
    let settled = false;
    const settle = (end) => {
      if (settled) {
        return;
      }
      settled = true;
      const whole = end === 'whole';
      deployment.note(
        `client  ${id} at ${host.name}: ${status || 'no answer'}, events ` +
          `${events[0]?.id ?? '-'} to ${events.at(-1)?.id ?? '-'} of ` +
          `${[...new Set(events.map(({by}) => by))].join(' then ') || '-'}, ${end}`,
      );
      resolve({status, events, whole, retryAfterS});
    };
    const call = startRequest(
      {
        host: address,
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          Host: HOST_NAME,
          'Content-Length': Buffer.byteLength(BODY),
          'X-Basilworks-Request-Id': id,
          'X-Basilworks-Model': `${MODEL}/${adapter}`,
          'X-Basilworks-Token-Usage': '600,80',
          'X-Basilworks-Prompt-Prefix': `aa:100,bb${id.length}:50,${Buffer.from(id).toString('hex')}:450`,
          'X-Basilworks-Deadline-Ms': deadlineMs,
          ...(resumes === undefined
            ? {}
            : {Resumes: resumes, 'Last-Event-Id': lastEventId}),
        },
      },
      (answer) => {
        status = answer.statusCode;
        retryAfterS = answer.headers['retry-after'];
        let text = '';
        answer.on('data', (chunk) => {
          text += String(chunk);
          for (;;) {
            const end = text.indexOf('\n\n');
            if (end < 0) {
              break;
            }
            const [, event, by] =
              /^id: (\d+)\ndata: (.*)$/.exec(text.slice(0, end)) ?? [];
            text = text.slice(end + 2);
            events.push({id: Number(event), by});
            onEvent?.(Number(event));
          }
        });
        answer.on('end', () => settle(answer.complete ? 'whole' : 'broken'));
        answer.on('error', () => settle('broken'));
        answer.on('close', () => settle('broken'));
      },
    );
    call.setTimeout(deadlineMs, () => call.destroy());
    call.on('error', () => settle('broken'));
    call.end(BODY);
  });

/**
 * Reads one stream to its end. After a broken connection or a promise that it
 * has not run, the client tries again at another host, up to `retries` times;
 * it takes the stream up after the last event that it has.
 */
export const readStream = async (
  deployment,
  {id, path, adapter, deadlineMs, retries, hostOf, retryMs, onEvent},
) => {
  const until = Date.now() + deadlineMs;
  const tries = [];
  let began;
  let last = 0;
  for (let serial = 0; serial <= retries; serial += 1) {
    const tryId = serial === 0 ? id : `${id}-${serial}`;
    const result = await attempt(deployment, hostOf(serial), {
      id: tryId,
      path,
      adapter,
      deadlineMs: Math.max(1, until - Date.now()),
      onEvent,
      ...(began === undefined ? {} : {resumes: began, lastEventId: last}),
    });
    tries.push({id: tryId, takesUp: began !== undefined, ...result});
    if (result.events.length > 0) {
      began ??= tryId;
      last = result.events.at(-1).id;
    }
    if (result.whole && result.status === 200) {
      break;
    }
    const leftMs = until - Date.now();
    const waitMs =
      result.retryAfterS === undefined
        ? retryMs
        : Math.min(Number(result.retryAfterS) * 1_000, leftMs / 3);
    if (leftMs <= waitMs || ![0, 200, 503, 429].includes(result.status)) {
      break;
    }
    await sleep(waitMs);
  }
  return {id, tries, events: tries.flatMap(({events}) => events)};
};
