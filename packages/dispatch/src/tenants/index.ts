export * from './caller-identity.js';
export * from './confirmation.js';
export * from './key-digest.js';
export * from './key-ring.js';
export * from './quota-account.js';
export * from './quota-bounds.js';
export * from './quota-meter.js';
export * from './token-cost.js';
