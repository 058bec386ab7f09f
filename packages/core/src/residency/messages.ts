/** Messages between entry hosts that the residency area handles. */
export const residencyMessageSchemas = [] as const;
