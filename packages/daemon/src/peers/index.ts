export * from './frames.js';
export * from './peer-client.js';
export * from './peer-links.js';
export * from './peer-service.js';
