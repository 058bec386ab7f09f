import {
  type Refusal,
  type SendOutcome,
  sendOutcomeSchema,
} from '@basilworks/core';

import {parseJson} from '../lib/parse-json.js';

/** Text of an outcome in an `ExecuteEnd` frame. */
export const encodeOutcome = (outcome: SendOutcome): string =>
  JSON.stringify(outcome);

/** Reads the outcome of an `ExecuteEnd` frame; undefined when malformed. */
export const decodeOutcome = (text: string): SendOutcome | undefined =>
  sendOutcomeSchema.safeParse(parseJson(text)).data;

/** Outcome of a hop of which it is proved that nothing was sent. */
export const notSent = (
  code: Refusal['code'],
  detail: string,
): SendOutcome => ({
  kind: 'not-sent',
  refusal: {code, notRun: true, detail},
});

/** Outcome of a hop that broke after the request may have been handled. */
export const unknownOutcome = (
  code: Refusal['code'],
  detail: string,
  deliveredBytes: number,
): SendOutcome => ({
  kind: 'unknown',
  refusal: {code, notRun: false, detail},
  deliveredBytes,
});
