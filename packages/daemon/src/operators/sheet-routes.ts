import {randomBytes} from 'node:crypto';

import type {SheetResult} from '@basilworks/core';
import {
  OPERATOR_PATHS,
  SHEET_RESULT_STATUS,
  sheetSubmissionSchema,
} from '@basilworks/protocol';

import type {DaemonContext} from '../context.js';
import type {Authenticator} from '../http/authentication.js';
import {toJsonResponse} from '../http/errors.js';
import type {CallerApp} from '../http/caller-app.js';
import type {RunnersOf} from '../runner-table.js';
import {forOperators, readOperatorBody} from './operator-request.js';
import {PendingAnswers} from '../lib/pending-answers.js';

const SIGNING_KEY_BYTES = 32;
const KEY_ID_BYTES = 8;

/** Changes of the configuration: sheets and the rotation of signing keys. */
export class SheetRoutes {
  private readonly pending = new PendingAnswers<SheetResult>();

  constructor(
    private readonly context: DaemonContext,
    private readonly authenticator: Authenticator,
  ) {}

  readonly runners: RunnersOf<
    'sheet-result' | 'create-signing-key' | 'key-rotation-result'
  > = {
    'sheet-result': ({submission, result}) => {
      this.pending.resolve(submission, result);
    },
    'key-rotation-result': ({submission, result}) => {
      this.pending.resolve(submission, result);
    },
    'create-signing-key': ({submission, operator}) => {
      this.context.loop.post({
        type: 'signing-key-created',
        submission,
        operator,
        keyId: randomBytes(KEY_ID_BYTES).toString('hex'),
        secretBase64: randomBytes(SIGNING_KEY_BYTES).toString('base64'),
      });
    },
  };

  register(app: CallerApp): void {
    const {loop} = this.context;
    app.post(
      OPERATOR_PATHS.sheet,
      forOperators(this.authenticator, async (call) => {
        const body = await readOperatorBody(call, sheetSubmissionSchema);
        if (body instanceof Response) {
          return body;
        }
        const result = await this.pending.ask((submission) => {
          loop.post({
            type: 'sheet-submitted',
            submission,
            operator: call.operator,
            text: body.text,
            dryRun: body.dryRun,
            allowMassRetirement: body.allowMassRetirement,
            expectedRevision: body.expectedRevision,
          });
        });
        return toJsonResponse({result}, SHEET_RESULT_STATUS[result.kind]);
      }),
    );
    app.post(
      OPERATOR_PATHS.keys,
      forOperators(this.authenticator, async ({operator}) => {
        const result = await this.pending.ask((submission) => {
          loop.post({type: 'key-rotation-submitted', submission, operator});
        });
        return toJsonResponse({result}, SHEET_RESULT_STATUS[result.kind]);
      }),
    );
  }
}
