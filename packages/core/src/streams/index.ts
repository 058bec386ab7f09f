export * from './area.js';
export * from './state.js';
