import {Agent, request as startRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {forwardingProtocol} from '@basilworks/platform';
import {HOST_NAME, MODEL} from '@basilworks/platform/stand-ins';

/** Adapters that requests name in turn. */
const ADAPTERS = 40;

/** Share of the requests that are streams, as on the first users' sites. */
const STREAM_SHARE = 0.7;

const names = forwardingProtocol.headers;

/** What came of a load. */
export interface LoadResult {
  answers: number;
  failures: number;
  events: number;
}

/** Sends requests at an even pace, to one host after the other. */
export const runSteadyLoad = async (
  addresses: readonly string[],
  perSecond: number,
  seconds: number,
): Promise<LoadResult> => {
  const result: LoadResult = {answers: 0, failures: 0, events: 0};
  const agent = new Agent({keepAlive: true});
  const pending: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const dueMs = (index * 1_000) / perSecond;
    const leftMs = dueMs - (performance.now() - startedAt);
    if (leftMs > 0) {
      await sleep(leftMs);
    }
    const address = addresses[index % addresses.length] ?? '';
    const streams = index % 10 < STREAM_SHARE * 10;
    pending.push(send(agent, address, index, streams, result));
  }
  await Promise.all(pending);
  agent.destroy();
  return result;
};

const send = (
  agent: Agent,
  address: string,
  index: number,
  streams: boolean,
  result: LoadResult,
): Promise<void> =>
  new Promise((resolve) => {
    const fail = () => {
      result.failures += 1;
      resolve();
    };
    const [host, port] = address.split(':');
    const request = startRequest(
      {
        agent,
        host,
        port,
        path: streams ? '/chat/x' : '/look/x',
        method: 'POST',
        headers: {
          host: HOST_NAME,
          [names.requestId]: `bench-${index}`,
          [names.deadlineMs]: '10000',
          ...(streams ? {[names.model]: `${MODEL}/a${index % ADAPTERS}`} : {}),
        },
      },
      (response) => {
        response.on('data', (chunk: Buffer) => {
          result.events += chunk.toString().split('data: ').length - 1;
        });
        response.on('error', fail);
        response.on('end', () => {
          result.answers += response.statusCode === 200 ? 1 : 0;
          result.failures += response.statusCode === 200 ? 0 : 1;
          resolve();
        });
      },
    );
    request.on('error', fail);
    request.end('hello');
  });
