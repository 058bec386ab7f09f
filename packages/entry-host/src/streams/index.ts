export * from './stream-versions.js';
