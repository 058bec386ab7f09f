export * from './held-bytes.js';
export * from './next-step.js';
export * from './retry-budget.js';
export * from './retry-after.js';
