export * from './area.js';
export * from './messages.js';
export * from './state.js';
