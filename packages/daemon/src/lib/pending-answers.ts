import {randomUUID} from 'node:crypto';

/** Waits of HTTP handlers for an effect that names their submission. */
export class PendingAnswers<Answer> {
  private readonly waiting = new Map<string, (answer: Answer) => void>();

  /**
   * Calls `submit` with a new name, and returns the answer that `resolve` is
   * given for that name.
   */
  ask(submit: (submission: string) => void): Promise<Answer> {
    const submission = randomUUID();
    return new Promise((resolve) => {
      this.waiting.set(submission, resolve);
      submit(submission);
    });
  }

  /** Gives the answer to a submission; nothing waits for an unknown one. */
  resolve(submission: string, answer: Answer): void {
    const waiter = this.waiting.get(submission);
    this.waiting.delete(submission);
    waiter?.(answer);
  }
}
