/** Messages between entry hosts that the load-budget area handles. */
export const loadBudgetMessageSchemas = [] as const;
