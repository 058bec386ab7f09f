export * from './check.js';
export * from './checks/check-fleet.js';
export * from './checks/violation.js';
export * from './fleet/index.js';
export * from './history.js';
export * from './schedules/fault-schedule.js';
export * from './schedules/run-schedule.js';
