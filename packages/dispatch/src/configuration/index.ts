export * from './configuration.js';
export * from './route-table.js';
