/** Exit codes of `basilworks`. */
export const EXIT_CODES = {
  success: 0,
  /** A fault of the program itself. */
  internal: 1,
  /** Unknown command or option, or a missing argument. */
  usage: 2,
  /** The sheet has faults; nothing was applied. */
  invalidSheet: 3,
  /** Another operator's change came first; nothing was applied. */
  conflict: 4,
  /** A guard refused the change; nothing was applied. */
  guarded: 5,
  /** The host or the platform's store could not be reached; retry. */
  unavailable: 6,
  /** The token is missing or not accepted. */
  unauthenticated: 7,
  /** The named adapter, server, host or request is not known. */
  notFound: 8,
  /** Some hosts did not answer; the output covers the others. */
  partial: 9,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
