export * from './entry-host-command.js';
