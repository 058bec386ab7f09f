/** Exit codes of `basilworksd`. */
export const ExitCode = {
  /** A planned stop that cut nothing short. */
  STOPPED: 0,
  /** A fault of the daemon itself. */
  FAILED: 1,
  /** The settings file is missing or has faults; each is printed. */
  BAD_SETTINGS: 2,
  /** An address of the settings can't be listened on. */
  CANNOT_LISTEN: 3,
  /** A planned stop that did not complete within `stopTimeoutMs`. */
  STOP_INCOMPLETE: 4,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
