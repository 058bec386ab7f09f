export * from './key-digest.js';
