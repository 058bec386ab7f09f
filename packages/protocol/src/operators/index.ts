export * from './operator-error.js';
export * from './paths.js';
export * from './sheet.js';
export * from './views.js';
