/** An address that can't be listened on. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  constructor(
    readonly address: string,
    detail: string,
  ) {
    super(`cannot listen on ${address}: ${detail}`);
  }
}
