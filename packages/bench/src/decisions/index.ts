export * from './decisions-command.js';
