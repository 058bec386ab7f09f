export * from './address-answer.js';
export * from './claims.js';
export * from './membership.js';
export * from './records.js';
export * from './store-views.js';
