export * from './buffer-budget.js';
export * from './caller-connections.js';
export * from './next-step.js';
export * from './retry-after.js';
export * from './retry-budget.js';
