export * from './connection.js';
export * from './dial.js';
export * from './pool.js';
export * from './response-parser.js';
export * from './pools.js';
export * from './server-caller.js';
export * from './server-notice.js';
