export * from './caller-identity.js';
export * from './confirmation.js';
export * from './key-digest.js';
export * from './key-ring.js';
