export * from './reachability-monitor.js';
export * from './relay-listener.js';
export * from './relay-sessions.js';
export * from './server-dialer.js';
