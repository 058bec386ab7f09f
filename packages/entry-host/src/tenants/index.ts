export * from './quota-gate.js';
export * from './tenant-meters.js';
export * from './tenant-quotas.js';
