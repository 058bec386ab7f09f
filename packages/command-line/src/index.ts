export * from './command-line.js';
export * from './lib/command-context.js';
export * from './lib/command-error.js';
export * from './lib/exit-code.js';
