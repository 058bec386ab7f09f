import type {ServerResponse} from 'node:http';

import type {AnswerText} from '../lib/answer-text.js';
import type {ExecutionEnd, ExecutionListener} from '../models/index.js';

/** Writes an answer to a connection as it is generated, from an offset. */
export class AnswerWriter implements ExecutionListener {
  private generatedTokens = 0;

  constructor(
    private readonly outgoing: ServerResponse,
    private readonly text: AnswerText,
    private readonly streamed: boolean,
    private offsetBytes: number,
  ) {}

  /** Writes the headers, which name what runs. */
  begin(adapter: string, version: string): void {
    this.outgoing.writeHead(200, {
      'content-type': this.streamed ? 'text/event-stream' : 'application/json',
      'x-adapter': adapter,
      'x-version': version,
    });
    if (this.streamed) {
      this.outgoing.flushHeaders();
    }
  }

  onProgress(generatedTokens: number): void {
    this.generatedTokens = generatedTokens;
    if (this.streamed) {
      this.write(false);
    }
  }

  onEnd(end: ExecutionEnd): void {
    if (end !== 'complete') {
      this.outgoing.destroy();
      return;
    }
    if (this.streamed) {
      this.write(true);
    } else {
      const whole = this.text.whole(this.generatedTokens);
      this.outgoing.write(whole.subarray(this.offsetBytes));
    }
    this.outgoing.end();
  }

  private write(ended: boolean): void {
    const endBytes = this.text.streamBytes(this.generatedTokens, ended);
    if (endBytes > this.offsetBytes) {
      this.outgoing.write(
        this.text.stream(this.offsetBytes, this.generatedTokens, ended),
      );
      this.offsetBytes = endBytes;
    }
  }
}
