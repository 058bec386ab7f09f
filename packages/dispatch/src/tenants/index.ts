export * from './caller-identity.js';
export * from './confirmation.js';
export * from './fair-shares.js';
export * from './key-digest.js';
export * from './key-ring.js';
export * from './use-rates.js';
