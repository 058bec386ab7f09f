export * from './capacity-command.js';
