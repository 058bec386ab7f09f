export * from './generated/basilworks/peer/v1/peer.js';
export * from './operators/index.js';
export * from './platform/index.js';
