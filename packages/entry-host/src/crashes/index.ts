export * from './crash-detector.js';
export * from './crash-guard.js';
export * from './crash-monitor.js';
export * from './prompt-parts.js';
export * from './request-keys.js';
