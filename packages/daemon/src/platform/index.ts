export * from './engine.js';
export * from './exchange.js';
export * from './failed-outcome.js';
export * from './host-list.js';
export * from './object-api.js';
export * from './plain-service.js';
