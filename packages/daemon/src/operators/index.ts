export * from './operators-part.js';
