export * from './area.js';
export * from './events.js';
export * from './messages.js';
export * from './state.js';
export * from './selectors.js';
export * from './zone-record.js';
