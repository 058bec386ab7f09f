export * from './area.js';
export * from './events.js';
export * from './effects.js';
export * from './state.js';
