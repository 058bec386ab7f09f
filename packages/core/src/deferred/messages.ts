/** Messages between entry hosts that the deferred area handles. */
export const deferredMessageSchemas = [] as const;
