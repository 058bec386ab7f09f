export * from './send-permits.js';
