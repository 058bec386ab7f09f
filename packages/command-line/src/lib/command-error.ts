import type {ExitCode} from './exit-code.js';

/** A failure that ends the command, with the exit code that it maps to. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
  }
}
