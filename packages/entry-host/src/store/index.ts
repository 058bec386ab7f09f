export * from './store-reader.js';
