/** Messages between entry hosts that the ownership area handles. */
export const ownershipMessageSchemas = [] as const;
