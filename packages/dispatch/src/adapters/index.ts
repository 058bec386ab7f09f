export * from './adapter-demand.js';
export * from './adapter-key.js';
export * from './adapter-spreads.js';
export * from './adapter-versions.js';
export * from './load-times.js';
export * from './places.js';
export * from './places-events.js';
export * from './residency-cache.js';
