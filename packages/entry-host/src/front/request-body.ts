import type {IncomingMessage} from 'node:http';

import {BlockBuffer, type BlockPool} from '../lib/block-buffer.js';
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
  pool: BlockPool,
): Promise<Buffer | 'too-large' | 'aborted'> =>
  new Promise((resolve) => {
    const body = new BlockBuffer(pool);
    const handleData = (chunk: Buffer) => {
      if (body.length + chunk.length > maximumBytes) {
        resolve('too-large');
        message.off('data', handleData);
        body.clear();
        message.resume();
        return;
      }
      body.append(chunk);
      buffers.recordBodyBytes(chunk.length, body.chargedBytes);
    };
    message.on('data', handleData);
    message.on('end', () => {
      buffers.recordBodyEnd();
      resolve(body.take());
    });
    message.on('close', () => {
      body.clear();
      resolve('aborted');
    });
  });
