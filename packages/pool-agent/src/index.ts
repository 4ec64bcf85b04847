export * from './agent-core.js';
export * from './agent-messages.js';
