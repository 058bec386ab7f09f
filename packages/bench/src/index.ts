export * from './data-path/index.js';
