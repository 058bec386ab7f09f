export * from './address-answer.js';
export * from './claims.js';
export * from './host-capacity.js';
export * from './host-table.js';
export * from './membership.js';
export * from './reading-groups.js';
export * from './records.js';
export * from './store-views.js';
