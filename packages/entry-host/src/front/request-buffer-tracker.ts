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

/**
 * Memory of a header line beside its characters, bytes: its strings in the
 * parsed and the raw form, and its share of the head that is sent on.
 */
const HEADER_LINE_BYTES = 256;

/** Memory that a request's head occupies while the request lasts, bytes. */
export const headMemoryBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_LINE_BYTES / 2,
    0,
  );

/**
 * Tracks the memory that one request and its answer occupy on this host, from
 * the request's head to the last byte of the answer, and applies backpressure
 * to the server that sends the answer.
 */
export class RequestBufferTracker implements BufferOwner {
  requestId = '';
  private readonly account: BufferAccount;
  private receivedBodyBytes = 0;
  private expectedBodyBytes = 0;
  private readingBody = false;
  private admitted = false;
  private answerBytes = 0;
  private pausedSource: SendControl | undefined;
  private notifyDisconnect: (reason: DisconnectReason) => void = () =>
    undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly budget: BufferBudget,
    private readonly answer: CallerAnswer,
    /** Memory of the request's head. */
    private readonly headBytes = 0,
  ) {
    this.account = budget.open(this, context.clock.now());
    answer.onClose(() => {
      this.pausedSource = undefined;
      this.account.close();
    });
  }

  /** Whether non-streaming answers may be buffered until they are complete. */
  get canBufferWholeAnswers(): boolean {
    return this.budget.canBufferWholeAnswers;
  }

  /** Sets the callback that runs before the caller's connection is aborted. */
  onDisconnect(callback: (reason: DisconnectReason) => void): void {
    this.notifyDisconnect = callback;
  }

  /**
   * Starts tracking a request body of `expectedBytes`. Returns false if the
   * buffer budget has no room for it; the body is then not tracked.
   */
  admitBody(expectedBytes: number): boolean {
    const {headBytes, context} = this;
    const bytes = headBytes + expectedBytes;
    if (!this.budget.hasRoomFor(bytes, context.clock.now())) {
      return false;
    }
    this.expectedBodyBytes = expectedBytes;
    this.readingBody = true;
    this.admitted = true;
    this.refreshAccount();
    return true;
  }

  /**
   * Counts bytes of the request body that have arrived, and the memory that the
   * body now occupies.
   */
  recordBodyBytes(bytes: number, occupiedBytes: number): void {
    this.receivedBodyBytes += bytes;
    if (occupiedBytes > this.expectedBodyBytes) {
      this.expectedBodyBytes = occupiedBytes;
    }
    this.refreshAccount();
  }

  recordBodyEnd(): void {
    this.readingBody = false;
    this.expectedBodyBytes = this.receivedBodyBytes;
  }

  /** Sets how many bytes of a non-streaming answer are buffered. */
  setAnswerBytes(answerBytes: number): void {
    this.answerBytes = answerBytes;
    this.refreshAccount();
  }

  /** Pauses a server's answer until the caller has read what was written. */
  pauseSource(source: SendControl): void {
    source.pause();
    this.pausedSource = source;
    this.refreshAccount();
  }

  /** Resumes the paused answer once the caller has read what was written. */
  resumeSource(): void {
    const {pausedSource} = this;
    this.pausedSource = undefined;
    pausedSource?.resume();
  }

  /** Drops the paused answer, which has ended. */
  clearSource(): void {
    this.pausedSource = undefined;
  }

  /**
   * Stops counting the request and the buffered answer. From here on, only
   * bytes that the caller has yet to read are counted.
   */
  recordRequestEnd(): void {
    this.pausedSource = undefined;
    this.answerBytes = 0;
    this.expectedBodyBytes = 0;
    this.refreshAccount();
  }

  measure(): BufferUsage {
    const requestBytes = this.admitted
      ? this.headBytes + this.expectedBodyBytes
      : 0;
    return {
      requestBytes: this.readingBody ? 0 : requestBytes,
      answerBytes: this.answerBytes,
      pendingBytes:
        this.answer.pendingBytes + (this.readingBody ? requestBytes : 0),
      movedBytes: this.receivedBodyBytes + this.answer.acceptedBytes,
      paused: this.pausedSource !== undefined,
      receiving: this.readingBody,
    };
  }

  readMore(): void {
    this.pausedSource?.resume();
  }

  disconnect(reason: DisconnectReason): void {
    const {logger, metrics} = this.context;
    const {pendingBytes, movedBytes} = this.measure();
    metrics.cutCallers.inc({reason});
    logger.info('caller connection aborted', {
      requestId: this.requestId,
      reason,
      pendingBytes,
      movedBytes,
      heldBytes: this.budget.bytes,
    });
    this.pausedSource = undefined;
    this.notifyDisconnect(reason);
    this.answer.abort();
  }

  private refreshAccount(): void {
    this.account.refresh(this.context.clock.now());
  }
}
