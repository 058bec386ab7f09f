export * from './policy-command.js';
export * from './run-scenario.js';
export * from './scenarios.js';
