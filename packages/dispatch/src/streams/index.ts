export * from './software-versions.js';
export * from './stream-origins.js';
