import {setTimeout as sleep} from 'node:timers/promises';

import type {SheetResult} from '@basilworks/core';
import {OPERATOR_PATHS, sheetAnswerSchema} from '@basilworks/protocol';

import {exchange} from './callers/exchange.js';
import type {Credential} from './launch/entry-host-process.js';

const TIMEOUT_MS = 60_000;
const POLL_MS = 20;
const IN_FORCE_TIMEOUT_MS = 60_000;

/** Thrown when an entry host did not accept a sheet, or not everywhere. */
export class SheetError extends Error {
  override readonly name = 'SheetError';
}

/** Applies a sheet at one entry host. */
export const applySheet = async (
  address: string,
  operator: Credential,
  text: string,
): Promise<SheetResult> => {
  const {status, end, body} = await exchange({
    address,
    path: OPERATOR_PATHS.sheet,
    method: 'POST',
    headers: {
      authorization: `Bearer ${operator.token}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({text}),
    timeoutMs: TIMEOUT_MS,
  });
  const answer = body.toString('utf8');
  if (status !== 200) {
    throw new SheetError(`${end}, status ${status}: ${answer.slice(0, 500)}`);
  }
  return sheetAnswerSchema.parse(JSON.parse(answer)).result;
};

/**
 * Waits until a model is known at every address.
 *
 * @returns the milliseconds that it took.
 */
export const waitUntilKnown = async (
  addresses: readonly string[],
  model: string,
): Promise<number> => {
  const startMs = performance.now();
  const isKnownAt = async (address: string): Promise<boolean> => {
    const {status} = await exchange({
      address,
      path: `/v1/address?model=${model}`,
      method: 'GET',
      headers: {},
      timeoutMs: TIMEOUT_MS,
    });
    return status === 200;
  };
  await Promise.all(
    addresses.map(async (address) => {
      while (!(await isKnownAt(address))) {
        if (performance.now() - startMs > IN_FORCE_TIMEOUT_MS) {
          throw new SheetError(`${model} is not in force at ${address}`);
        }
        await sleep(POLL_MS);
      }
    }),
  );
  return performance.now() - startMs;
};
