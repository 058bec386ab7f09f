import type {Result} from 'neverthrow';

import type {CommandError} from './command-error.js';

/** What the commands need of the process around them. */
export interface CommandContext {
  /** Environment variables; `BASILWORKS_HOST` and `BASILWORKS_TOKEN`. */
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Whether the output is a terminal: tables then, JSON elsewhere. */
  readonly isTerminal: boolean;
  /** Writes a line of output. */
  readonly print: (line: string) => void;
  /** Writes a line of progress or of an error message. */
  readonly report: (line: string) => void;
  /** Reads a file, or the standard input for `-`. */
  readonly readText: (path: string) => Promise<Result<string, CommandError>>;
  /** Aborted when the operator interrupts the command. */
  readonly signal: AbortSignal;
}
