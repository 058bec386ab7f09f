/** Descriptors that are assumed if the settings don't give them. */
const DEFAULT_DESCRIPTORS = 4_096;

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the others that callers' connections may use. */
const CALLER_SHARE = 0.75;

/** Connections of callers that a process may have open. */
export const callerConnectionLimit = (
  descriptors = DEFAULT_DESCRIPTORS,
): number =>
  Math.max(1, Math.floor((descriptors - FILE_DESCRIPTORS) * CALLER_SHARE));
