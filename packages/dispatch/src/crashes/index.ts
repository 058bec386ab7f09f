export * from './completions.js';
export * from './crash-evidence.js';
export * from './quarantine.js';
