/** Messages between entry hosts that the routing area handles. */
export const routingMessageSchemas = [] as const;
