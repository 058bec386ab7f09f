export * from './generated/basilworks/peer/v1/peer.js';
export * from './platform/index.js';
