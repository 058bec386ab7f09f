export * from './adapter-demand.js';
export * from './adapter-key.js';
export * from './adapter-slots-events.js';
export * from './adapter-slots.js';
export * from './adapter-spreads.js';
export * from './adapter-versions.js';
export * from './load-times.js';
export * from './residency-cache.js';
