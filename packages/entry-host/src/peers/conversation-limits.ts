import {constants, type ServerHttp2Stream} from 'node:http2';

import {RecencyLimiter} from '../lib/recency-limiter.js';
import {MessageBudget} from './message-budget.js';
import type {StreamObserver} from './stream-interceptor.js';

/**
 * Conversations that are open at once; of more, the one without a message for
 * longest is closed. A peer has one.
 */
const MAXIMUM_CONVERSATIONS = 1_024;

/** Bounds what the conversations of all peers hold together. */
export class ConversationLimits implements StreamObserver {
  private readonly messages = new MessageBudget();
  private readonly open = new RecencyLimiter<ServerHttp2Stream>(
    MAXIMUM_CONVERSATIONS,
    (stream) => {
      stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM);
    },
  );

  opened(stream: ServerHttp2Stream): void {
    this.open.add(stream);
  }

  piece(stream: ServerHttp2Stream, bytes: number): void {
    this.messages.recordPiece(stream, bytes);
  }

  message(stream: ServerHttp2Stream): void {
    this.messages.release(stream);
    this.open.touch(stream);
  }

  closed(stream: ServerHttp2Stream): void {
    this.messages.release(stream);
    this.open.remove(stream);
  }
}
