import {createHash} from 'node:crypto';

const INDEX_DIGITS = 6;
const DIGEST_DIGITS = 8;
const DONE_FRAME = 'data: [DONE]\n\n';

/** What determines every byte of a generated answer. */
export interface AnswerSubject {
  readonly requestId: string;
  readonly adapter: string;
  readonly version: string;
  /** Who asked, as the body's `user` says. */
  readonly user: string;
  /** The prompt, as the body's messages have it. */
  readonly prompt: string;
}

/**
 * The answer that a stand-in engine generates. It can be computed at both
 * ends, so that a caller can check every byte, from any offset.
 */
export class AnswerText {
  private readonly digest: string;
  private readonly framePrefix: string;
  private readonly frameSuffix = '"}}]}\n\n';
  private readonly frameBytes: number;

  constructor(private readonly subject: AnswerSubject) {
    const {requestId, adapter, version, user, prompt} = subject;
    this.digest = createHash('sha256')
      .update(JSON.stringify([requestId, adapter, version, user, prompt]))
      .digest('hex');
    const model = `${adapter}@${version}`;
    const head = JSON.stringify({id: requestId, model}).slice(0, -1);
    this.framePrefix = `data: ${head},"choices":[{"delta":{"content":"`;
    this.frameBytes = Buffer.byteLength(this.frame(0));
  }

  /** The server-sent event of one token; all have the same length. */
  frame(index: number): string {
    return this.framePrefix + this.token(index) + this.frameSuffix;
  }

  /** A streamed answer from a byte offset up to a number of tokens. */
  stream(offsetBytes: number, tokens: number, ended: boolean): Buffer {
    const first = Math.min(tokens, Math.floor(offsetBytes / this.frameBytes));
    let text = '';
    for (let index = first; index < tokens; index++) {
      text += this.frame(index);
    }
    if (ended) {
      text += DONE_FRAME;
    }
    return Buffer.from(text).subarray(offsetBytes - first * this.frameBytes);
  }

  /** Length of a streamed answer of so many tokens. */
  streamBytes(tokens: number, ended: boolean): number {
    return tokens * this.frameBytes + (ended ? DONE_FRAME.length : 0);
  }

  /** An answer that is not streamed. */
  whole(tokens: number): Buffer {
    const {requestId, adapter, version} = this.subject;
    let content = '';
    for (let index = 0; index < tokens; index++) {
      content += this.token(index);
    }
    return Buffer.from(
      JSON.stringify({
        id: requestId,
        model: `${adapter}@${version}`,
        choices: [{message: {role: 'assistant', content}}],
        usage: {completion_tokens: tokens},
      }),
    );
  }

  private token(index: number): string {
    const from = (index * DIGEST_DIGITS) % this.digest.length;
    const digits = this.digest.slice(from, from + DIGEST_DIGITS);
    return `${`${index}`.padStart(INDEX_DIGITS, '0')}${digits} `;
  }
}
