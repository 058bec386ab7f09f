export * from './data-path-command.js';
