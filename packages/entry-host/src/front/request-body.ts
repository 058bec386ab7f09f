import type {IncomingMessage} from 'node:http';

import type {RequestBufferTracker} from './request-buffer-tracker.js';

/** Body that is expected where its length isn't told, bytes: one read. */
const UNTOLD_BYTES = 65_536;

/** How long a body will be, as far as its head tells, bytes. */
export const expectedBodyBytes = ({headers}: IncomingMessage): number =>
  headers['transfer-encoding'] === undefined
    ? Number(headers['content-length'] ?? 0)
    : UNTOLD_BYTES;

/** Reads a body up to a limit. */
export const readBody = (
  message: IncomingMessage,
  maximumBytes: number,
  hold: RequestBufferTracker,
): Promise<Buffer | 'too-large' | 'cut'> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        resolve('too-large');
        message.removeAllListeners('data');
        message.resume();
        return;
      }
      chunks.push(chunk);
      hold.recordBodyBytes(chunk.length);
    });
    message.on('end', () => {
      hold.recordBodyEnd();
      resolve(Buffer.concat(chunks));
    });
    message.on('close', () => {
      resolve('cut');
    });
  });
