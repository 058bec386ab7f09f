import type {PeerMessage, RequestDescription} from '@basilworks/core';
import {type ExecuteResponse, PeerServiceClient} from '@basilworks/protocol';
import {type ClientReadableStream, credentials, Metadata} from '@grpc/grpc-js';

import type {AnswerSink, AnswerSource} from '../lib/answer.js';
import {decodeOutcome, notSent, unknownOutcome} from './frames.js';

const CONNECT_TIMEOUT_MS = 1_000;
const DELIVER_TIMEOUT_MS = 2_000;

/** Messages that wait for an unreachable peer; the oldest are dropped. */
const MAXIMUM_QUEUED_MESSAGES = 10_000;

/** Longest message over a data path, bytes; above the largest body. */
export const MAXIMUM_FRAME_BYTES = 16 * 1_048_576;

const CHANNEL_OPTIONS = {
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // A repeated send would go unseen by the outcome that is reported.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAXIMUM_FRAME_BYTES,
  'grpc.max_send_message_length': MAXIMUM_FRAME_BYTES,
};

/** What a peer client tells its owner. */
export interface PeerObserver {
  reachabilityChanged(reachable: boolean): void;
  batchSent(bytes: number, messages: number): void;
}

/** Who sends. */
export interface LocalSender {
  readonly host: string;
  readonly incarnation: string;
}

/** A request for the owner of a server. */
export interface RemoteExecution {
  readonly executionId: string;
  readonly server: string;
  readonly request: RequestDescription;
  readonly remainingMs: number;
  readonly body: Buffer;
  readonly resumeOffsetBytes: number | undefined;
}

/**
 * The connection to one peer. Control messages go in order, one batch at a
 * time; what is queued meanwhile forms the next batch. A batch that fails is
 * dropped, as messages may be lost.
 */
export class PeerClient {
  private readonly client: PeerServiceClient;
  private queue: string[] = [];
  private delivering = false;
  private reachable: boolean | undefined;
  private closed = false;

  constructor(
    readonly address: string,
    private readonly sender: LocalSender,
    private readonly observer: PeerObserver,
  ) {
    this.client = new PeerServiceClient(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }

  /** Queues a control message; it leaves after the current turn. */
  send(message: PeerMessage): void {
    if (this.queue.length >= MAXIMUM_QUEUED_MESSAGES) {
      this.queue.shift();
    }
    this.queue.push(JSON.stringify(message));
    if (!this.delivering) {
      this.delivering = true;
      setImmediate(() => {
        this.deliver();
      });
    }
  }

  /** Opens the data path of one request. */
  execute(execution: RemoteExecution, sink: AnswerSink): AnswerSource {
    const stream = new RemoteAnswer(sink);
    const deadline = Date.now() + CONNECT_TIMEOUT_MS;
    this.client.waitForReady(deadline, (error) => {
      if (error) {
        this.setReachable(false);
        stream.fail(notSent('peer-unreachable', error.message));
        return;
      }
      stream.open(() =>
        this.client.execute({
          executionId: execution.executionId,
          fromHost: this.sender.host,
          server: execution.server,
          request: JSON.stringify(execution.request),
          remainingMs: Math.max(0, Math.ceil(execution.remainingMs)),
          body: execution.body,
          resumeOffsetBytes: execution.resumeOffsetBytes,
        }),
      );
    });
    return stream;
  }

  close(): void {
    this.closed = true;
    this.queue = [];
    this.client.close();
  }

  private deliver(): void {
    const messages = this.queue;
    // A batch may fall due after the close; the channel takes no call then.
    if (messages.length === 0 || this.closed) {
      this.delivering = false;
      return;
    }
    this.queue = [];
    const {host, incarnation} = this.sender;
    this.observer.batchSent(sizeOf(messages), messages.length);
    this.client.deliver(
      {fromHost: host, fromIncarnation: incarnation, messages},
      new Metadata(),
      {deadline: Date.now() + DELIVER_TIMEOUT_MS},
      (error) => {
        this.setReachable(error === null);
        this.deliver();
      },
    );
  }

  private setReachable(reachable: boolean): void {
    if (this.reachable !== reachable) {
      this.reachable = reachable;
      this.observer.reachabilityChanged(reachable);
    }
  }
}

/** Relays the frames of an `Execute` call to a sink. */
class RemoteAnswer implements AnswerSource {
  private call: ClientReadableStream<ExecuteResponse> | undefined;
  private ended = false;
  private deliveredBytes = 0;

  constructor(private readonly sink: AnswerSink) {}

  open(start: () => ClientReadableStream<ExecuteResponse>): void {
    if (this.ended) {
      return;
    }
    const call = start();
    this.call = call;
    call.on('data', (response: ExecuteResponse) => {
      this.receive(response);
    });
    call.on('error', (error) => {
      this.fail(
        unknownOutcome('peer-unreachable', error.message, this.deliveredBytes),
      );
    });
    call.on('end', () => {
      this.fail(
        unknownOutcome(
          'peer-unreachable',
          'the data path ended without an outcome',
          this.deliveredBytes,
        ),
      );
    });
  }

  fail(outcome: Parameters<AnswerSink['end']>[0]): void {
    if (!this.ended) {
      this.ended = true;
      this.sink.end(outcome);
    }
  }

  resume(): void {
    this.call?.resume();
  }

  cancel(): void {
    if (this.call === undefined) {
      this.fail(notSent('cancelled', 'cancelled before it was sent'));
      return;
    }
    this.fail(unknownOutcome('cancelled', 'cancelled', this.deliveredBytes));
    this.call.cancel();
  }

  private receive({frame}: ExecuteResponse): void {
    if (this.ended || frame === undefined) {
      return;
    }
    switch (frame.$case) {
      case 'head':
        this.sink.head(frame.value);
        break;
      case 'data':
        this.deliveredBytes += frame.value.length;
        if (!this.sink.data(frame.value)) {
          this.call?.pause();
        }
        break;
      case 'end':
        this.fail(
          decodeOutcome(frame.value.outcome) ??
            unknownOutcome(
              'peer-unreachable',
              'malformed outcome',
              this.deliveredBytes,
            ),
        );
    }
  }
}

const sizeOf = (messages: readonly string[]): number =>
  messages.reduce((sum, message) => sum + message.length, 0);
