import type {
  BufferAccount,
  BufferBudget,
  BufferOwner,
  BufferUsage,
  DisconnectReason,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {CallerAnswer} from './caller-answer.js';
import type {SendControl} from './server-send.js';

/** What a host holds for one request, until the last byte of its answer. */
export class RequestBufferTracker implements BufferOwner {
  requestId = '';
  private readonly share: BufferAccount;
  private receivedBytes = 0;
  private expectedBytes = 0;
  private reading = false;
  private answerBytes = 0;
  private source: SendControl | undefined;
  private given: (reason: DisconnectReason) => void = () => undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly budget: BufferBudget,
    private readonly answer: CallerAnswer,
  ) {
    this.share = budget.open(this, context.clock.now());
    answer.onClosed(() => {
      this.source = undefined;
      this.share.close();
    });
  }

  /** Whether a plain answer may be kept until it is whole. */
  get canBufferWholeAnswers(): boolean {
    return this.budget.canBufferWholeAnswers;
  }

  /** Called before the connection is cut. */
  onDisconnect(callback: (reason: DisconnectReason) => void): void {
    this.given = callback;
  }

  /** False where there is no room for a body; `expectedBytes` is its length. */
  admitBody(expectedBytes: number): boolean {
    if (!this.budget.hasRoomFor(expectedBytes, this.context.clock.now())) {
      return false;
    }
    this.expectedBytes = expectedBytes;
    this.reading = true;
    return true;
  }

  /** More of the body has arrived. */
  recordBodyBytes(bytes: number): void {
    this.receivedBytes += bytes;
    if (this.receivedBytes > this.expectedBytes) {
      this.expectedBytes = this.receivedBytes;
    }
    this.refresh();
  }

  recordBodyEnd(): void {
    this.reading = false;
    this.expectedBytes = this.receivedBytes;
  }

  /** So much of a plain answer is kept. */
  setAnswerBytes(answerBytes: number): void {
    this.answerBytes = answerBytes;
    this.refresh();
  }

  /** A server is held back until the caller has taken what was written. */
  pauseSource(source: SendControl): void {
    source.pause();
    this.source = source;
    this.refresh();
  }

  /** The caller has taken all that was written. */
  resumeSource(): void {
    const {source} = this;
    this.source = undefined;
    source?.resume();
  }

  /** The server that was held back has ended its answer. */
  clearSource(): void {
    this.source = undefined;
  }

  /** Nothing is left of the request but bytes that the caller has to take. */
  recordRequestEnd(): void {
    this.source = undefined;
    this.answerBytes = 0;
    this.expectedBytes = 0;
    this.refresh();
  }

  measure(): BufferUsage {
    return {
      requestBytes: this.reading ? 0 : this.expectedBytes,
      answerBytes: this.answerBytes,
      pendingBytes:
        this.answer.pendingBytes + (this.reading ? this.expectedBytes : 0),
      movedBytes: this.receivedBytes + this.answer.takenBytes,
      paused: this.source !== undefined,
    };
  }

  readMore(): void {
    this.source?.resume();
  }

  disconnect(reason: DisconnectReason): void {
    const {logger, metrics} = this.context;
    const {pendingBytes, movedBytes} = this.measure();
    metrics.cutCallers.inc({reason});
    logger.info('caller cut', {
      requestId: this.requestId,
      reason,
      pendingBytes,
      movedBytes,
      heldBytes: this.budget.bytes,
    });
    this.source = undefined;
    this.given(reason);
    this.answer.abort();
  }

  private refresh(): void {
    this.share.refresh(this.context.clock.now());
  }
}
