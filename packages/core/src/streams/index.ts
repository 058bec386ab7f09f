export * from './area.js';
export * from './resume-token.js';
export * from './state.js';
