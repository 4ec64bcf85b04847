export * from './process-log.js';
export * from './json-server.js';
export * from './metrics.js';
export * from './sleep.js';
export * from './error-guard.js';
export * from './run-program.js';
export * from './graceful-server.js';
