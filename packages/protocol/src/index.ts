export * as fleet from './generated/basilworks/fleet/v1/fleet.js';
export * from './generated/basilworks/peer/v1/peer.js';
export * from './operators/index.js';
export * from './platform/index.js';
