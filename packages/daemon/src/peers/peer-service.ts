import {
  type PeerMessage,
  peerMessageSchema,
  requestDescriptionSchema,
} from '@basilworks/core';
import {
  type DeliverRequest,
  type ExecuteRequest,
  type ExecuteResponse,
  PeerServiceService,
  type PeerServiceServer,
} from '@basilworks/protocol';
import {
  Server,
  ServerCredentials,
  type ServerWritableStream,
  status,
} from '@grpc/grpc-js';
import {ResultAsync} from 'neverthrow';

import type {DaemonContext} from '../context.js';
import type {AnswerHead, AnswerSink} from '../lib/answer.js';
import {ListenError} from '../lib/listen-error.js';
import {parseJson} from '../lib/parse-json.js';
import type {Executions} from '../owner/executions.js';
import {encodeOutcome} from './frames.js';
import {MAXIMUM_FRAME_BYTES} from './peer-client.js';

/** Longest wait for a peer that takes its last frames slowly. */
const DRAIN_LIMIT_MS = 10_000;

const SERVER_OPTIONS = {
  'grpc.max_receive_message_length': MAXIMUM_FRAME_BYTES,
  'grpc.max_send_message_length': MAXIMUM_FRAME_BYTES,
};

/** The gRPC listener for peers. */
export class PeerService {
  private readonly server = new Server(SERVER_OPTIONS);

  constructor(
    private readonly context: DaemonContext,
    private readonly executions: Executions,
  ) {
    const service: PeerServiceServer = {
      deliver: (call, callback) => {
        this.deliver(call.request);
        callback(null, {incarnation: context.identity.incarnation});
      },
      execute: (call) => {
        this.execute(call);
      },
    };
    this.server.addService(PeerServiceService, service);
  }

  /** Listens; returns the port. */
  listen(address: string): ResultAsync<number, ListenError> {
    return ResultAsync.fromPromise(
      new Promise<number>((resolve, reject) => {
        const insecure = ServerCredentials.createInsecure();
        this.server.bindAsync(address, insecure, (error, port) => {
          if (error) {
            reject(error);
          } else {
            resolve(port);
          }
        });
      }),
      (error) => new ListenError(address, (error as Error).message),
    );
  }

  /** Takes no more calls; ends when the last stream is written. */
  async drain(): Promise<void> {
    await new Promise<void>((resolve) => {
      const limit = setTimeout(resolve, DRAIN_LIMIT_MS);
      this.server.tryShutdown(() => {
        clearTimeout(limit);
        resolve();
      });
    });
  }

  /** Closes all connections at once. */
  close(): void {
    this.server.forceShutdown();
  }

  private deliver(request: DeliverRequest): void {
    const {loop, metrics} = this.context;
    const {fromHost, fromIncarnation, messages} = request;
    for (const text of messages) {
      metrics.controlBytes.inc(
        {direction: 'received', channel: 'peer'},
        text.length,
      );
      const message = this.parse(fromHost, text);
      if (message !== undefined) {
        const labels = {direction: 'received', type: message.type};
        metrics.controlMessages.inc(labels);
        loop.post({
          type: 'peer-message',
          from: fromHost,
          fromIncarnation,
          message,
        });
      }
    }
  }

  private parse(peer: string, text: string): PeerMessage | undefined {
    const parsed = peerMessageSchema.safeParse(parseJson(text));
    if (!parsed.success) {
      const problem = parsed.error.message;
      this.context.logger.warn('malformed peer message', {peer, problem});
    }
    return parsed.data;
  }

  private execute(
    call: ServerWritableStream<ExecuteRequest, ExecuteResponse>,
  ): void {
    const {request} = call;
    const parsed = requestDescriptionSchema.safeParse(
      parseJson(request.request),
    );
    if (!parsed.success) {
      call.destroy(
        Object.assign(new Error(parsed.error.message), {
          code: status.INVALID_ARGUMENT,
        }),
      );
      return;
    }
    const source = this.executions.open(
      {
        executionId: request.executionId,
        request: parsed.data,
        server: request.server,
        from: request.fromHost,
        remainingMs: request.remainingMs,
        body: request.body,
        resumeOffsetBytes: request.resumeOffsetBytes,
      },
      new FrameSink(call),
    );
    call.on('drain', () => {
      source.resume();
    });
    call.on('cancelled', () => {
      source.cancel();
    });
  }
}

/** Writes an answer as frames. */
class FrameSink implements AnswerSink {
  constructor(
    private readonly call: ServerWritableStream<
      ExecuteRequest,
      ExecuteResponse
    >,
  ) {}

  head(value: AnswerHead): void {
    this.call.write({frame: {$case: 'head', value}});
  }

  data(value: Buffer): boolean {
    return this.call.write({frame: {$case: 'data', value}});
  }

  end(outcome: Parameters<AnswerSink['end']>[0]): void {
    const value = {outcome: encodeOutcome(outcome)};
    this.call.write({frame: {$case: 'end', value}});
    this.call.end();
  }
}
