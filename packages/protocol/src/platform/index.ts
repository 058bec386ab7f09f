export * from './engine.js';
export * from './object-api.js';
export * from './plain-service.js';
