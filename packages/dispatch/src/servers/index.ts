export * from './admission.js';
export * from './choose-server.js';
export * from './server-entry.js';
export * from './server-evidence.js';
export * from './server-table.js';
