import {randomBytes} from 'node:crypto';

import type {DaemonContext} from '../context.js';
import type {Part, PartTools} from '../part.js';

/** Length of a key that signs resume tokens, bytes. */
const SIGNING_KEY_BYTES = 32;

/** Length of the random part of a key's name, bytes. */
const KEY_ID_BYTES = 6;

/** The operators' interface. */
export const createOperatorsPart = (
  {loop}: DaemonContext,
  _tools: PartTools,
): Part<'sheet-result' | 'create-signing-key' | 'key-rotation-result'> => ({
  runners: {
    'sheet-result': () => undefined,
    'create-signing-key': ({submission, operator}) => {
      loop.post({
        type: 'signing-key-created',
        submission,
        operator,
        keyId: randomBytes(KEY_ID_BYTES).toString('hex'),
        secretBase64: randomBytes(SIGNING_KEY_BYTES).toString('base64'),
      });
    },
    'key-rotation-result': () => undefined,
  },
  registerRoutes: () => undefined,
});
