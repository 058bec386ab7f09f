export * from './adapter-broker.js';
export * from './claim-manager.js';
export * from './order-issuer.js';
