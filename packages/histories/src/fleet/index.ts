export * from './fleet.js';
export * from './host-clock.js';
export * from './network.js';
export * from './outside.js';
export * from './platform-runners.js';
export * from './simulated-host.js';
export * from './sample-servers.js';
