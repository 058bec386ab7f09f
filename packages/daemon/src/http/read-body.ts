import type {IncomingMessage} from 'node:http';

import type {Refusal} from '@basilworks/core';
import {err, ok, type Result, ResultAsync} from 'neverthrow';

import {refuseEarly} from './errors.js';

/** Reads the body of a request up to a limit. */
export const readBody = (
  incoming: IncomingMessage,
  limitBytes: number,
): ResultAsync<Buffer, Refusal> => {
  const tooLarge = refuseEarly(
    'body-too-large',
    `the body exceeds ${limitBytes} bytes`,
  );
  return new ResultAsync(
    new Promise<Result<Buffer, Refusal>>((resolve) => {
      if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) {
        resolve(err(tooLarge));
        return;
      }
      const chunks: Buffer[] = [];
      let bytes = 0;
      incoming.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > limitBytes) {
          incoming.pause();
          resolve(err(tooLarge));
        } else {
          chunks.push(chunk);
        }
      });
      incoming.on('end', () => {
        resolve(ok(Buffer.concat(chunks)));
      });
      incoming.on('close', () => {
        const detail = 'the body ended early';
        resolve(err(refuseEarly('malformed-request', detail)));
      });
    }),
  );
};
