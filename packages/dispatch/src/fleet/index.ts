export * from './caller-addresses.js';
export * from './claims.js';
export * from './host-capacity.js';
export * from './host-table.js';
export * from './membership.js';
export * from './reader-groups.js';
export * from './records.js';
export * from './store-views.js';
