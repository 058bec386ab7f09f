export * from './calls-part.js';
