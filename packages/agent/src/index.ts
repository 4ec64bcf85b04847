export * from './agent-core.js';
export * from './agent-effect.js';
export type * from './agent-event.js';
export type * from './agent-options.js';
