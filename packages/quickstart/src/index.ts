export * from './managed-process.js';
export * from './local-system.js';
export * from './free-port.js';
export * from './api-client.js';
export * from './example-records.js';
export * from './example-system.js';
