/** Messages between entry hosts that the configuration area handles. */
export const configurationMessageSchemas = [] as const;
