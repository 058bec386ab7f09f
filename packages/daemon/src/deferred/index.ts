export * from './deferred-part.js';
