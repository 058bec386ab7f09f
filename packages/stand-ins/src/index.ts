export * from './models/scheduler.js';
