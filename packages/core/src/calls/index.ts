export * from './area.js';
export * from './claim-record.js';
export * from './events.js';
export * from './effects.js';
export * from './selectors.js';
export * from './state.js';
