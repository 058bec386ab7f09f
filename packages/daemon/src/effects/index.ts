export * from './membership-runners.js';
export * from './record-runners.js';
export * from './store-runners.js';
export * from './timer-runners.js';
