import type {IncomingMessage} from 'node:http';

import type {RequestBufferTracker} from './request-buffer-tracker.js';

/** Size assumed for a body of unknown length, bytes: one socket read. */
const UNKNOWN_LENGTH_BYTES = 65_536;

/** Length of a request's body according to its headers, bytes. */
export const expectedBodyBytes = ({headers}: IncomingMessage): number =>
  headers['transfer-encoding'] === undefined
    ? Number(headers['content-length'] ?? 0)
    : UNKNOWN_LENGTH_BYTES;

/**
 * Reads the body of a request. Resolves to 'too-large' once it exceeds
 * `maximumBytes`, and to 'aborted' if the connection closes before its
 * end.
 */
export const readBody = (
  message: IncomingMessage,
  maximumBytes: number,
  buffers: RequestBufferTracker,
): Promise<Buffer | 'too-large' | 'aborted'> =>
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
      buffers.recordBodyBytes(chunk.length);
    });
    message.on('end', () => {
      buffers.recordBodyEnd();
      resolve(Buffer.concat(chunks));
    });
    message.on('close', () => {
      resolve('aborted');
    });
  });
