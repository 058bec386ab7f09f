export * from './reading-plans.js';
export * from './servers-view.js';
export * from './store-client.js';
export * from './store-reader.js';
