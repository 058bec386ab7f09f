export * from './prefill-pace.js';
export * from './prefill-queue.js';
export * from './prompt-reports.js';
