export * from './crash-detector.js';
export * from './crash-guard.js';
export * from './crash-log.js';
export * from './prompt-parts.js';
