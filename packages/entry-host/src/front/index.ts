export * from './caller-answer.js';
export * from './caller-gate.js';
export * from './caller-request.js';
export * from './event-splitter.js';
export * from './front-listener.js';
export * from './request-run.js';
export * from './server-selection.js';
export * from './server-send.js';
