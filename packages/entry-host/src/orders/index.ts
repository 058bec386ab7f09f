export * from './adapter-broker.js';
export * from './claim-keeper.js';
export * from './order-issuer.js';
