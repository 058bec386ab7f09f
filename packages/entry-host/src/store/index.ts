export * from './reading-plans.js';
export * from './server-table-updater.js';
export * from './store-client.js';
export * from './store-reader.js';
export * from './view-gate.js';
