/** Returns the stack of a caught value, or its text if it has none. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
