import {sheetAnswerSchema, OPERATOR_PATHS} from '@basilworks/protocol';
import type {SheetResult} from '@basilworks/core';
import {request} from 'undici';

import type {Credential} from './launch/entry-host-process.js';

/** Thrown when an entry host did not accept a sheet. */
export class SheetError extends Error {
  override readonly name = 'SheetError';
}

/** Applies a sheet at one entry host. */
export const applySheet = async (
  address: string,
  operator: Credential,
  text: string,
): Promise<SheetResult> => {
  const {statusCode, body} = await request(
    `http://${address}${OPERATOR_PATHS.sheet}`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${operator.token}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({text}),
    },
  );
  const answer = await body.text();
  if (statusCode !== 200) {
    throw new SheetError(`status ${statusCode}: ${answer.slice(0, 500)}`);
  }
  return sheetAnswerSchema.parse(JSON.parse(answer)).result;
};
