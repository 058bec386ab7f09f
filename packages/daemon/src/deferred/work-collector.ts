import {
  MAXIMUM_TEXT_BYTES,
  type Refusal,
  type SendOutcome,
} from '@basilworks/core';

import type {Requester} from '../ingress/ingress.js';

/** Takes the end of work: its outcome, and the answer where there is one. */
export type WorkEndListener = (
  outcome: SendOutcome,
  answer: string | undefined,
) => void;

/** Collects the answer to a model request that nobody waits for. */
export class WorkCollector implements Requester {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  constructor(private readonly onEnd: WorkEndListener) {}

  head(): void {
    // What ran was checked before; the status comes with the end.
  }

  data(chunk: Buffer): boolean {
    // One byte above the limit is enough to see that the answer is too large.
    const room = MAXIMUM_TEXT_BYTES + 1 - this.bytes;
    if (room > 0) {
      this.chunks.push(chunk.subarray(0, room));
      this.bytes += Math.min(room, chunk.length);
    }
    return true;
  }

  finish(status: number): void {
    const answer = Buffer.concat(this.chunks).toString('utf8');
    this.onEnd({kind: 'answered', status}, answer);
  }

  refuse(refusal: Refusal): void {
    this.onEnd(
      refusal.notRun
        ? {kind: 'not-sent', refusal}
        : {kind: 'unknown', refusal, deliveredBytes: this.bytes},
      undefined,
    );
  }
}
