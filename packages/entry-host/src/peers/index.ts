export * from './crash-codec.js';
export * from './host-codec.js';
export * from './peer-exchange.js';
export * from './peer-link.js';
export * from './peer-service.js';
export * from './prepare-answer-codec.js';
export * from './server-status-codec.js';
export * from './view-codec.js';
