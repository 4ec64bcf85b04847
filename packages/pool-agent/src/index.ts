export * from './pool-agent-core.js';
export * from './agent-messages.js';
export * from './agent-message-decoding.js';
export * from './incarnation-trace.js';
export type * from './pool-agent-dependencies.js';
