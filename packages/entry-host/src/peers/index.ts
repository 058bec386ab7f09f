export * from './answer-codec.js';
export * from './host-codec.js';
export * from './peer-exchange.js';
export * from './peer-link.js';
export * from './peer-service.js';
export * from './view-codec.js';
export * from './word-codec.js';
