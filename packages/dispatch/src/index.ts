export * from './adapters/index.js';
export * from './configuration/index.js';
export * from './crashes/index.js';
export * from './fleet/index.js';
export * from './prompts/index.js';
export * from './requests/index.js';
export * from './servers/index.js';
export * from './tenants/index.js';
