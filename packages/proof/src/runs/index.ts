export * from './check-executions.js';
export * from './timings.js';
export * from './test-system.js';
export * from './run-scenarios.js';
export type * from './scenario.js';
export * from './scenarios/index.js';
export * from './violation.js';
