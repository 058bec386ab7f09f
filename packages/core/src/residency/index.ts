export * from './area.js';
export * from './events.js';
export * from './effects.js';
export * from './messages.js';
export * from './selectors.js';
export * from './state.js';
