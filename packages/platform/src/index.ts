export type * from './table-store.js';
export type * from './object-store.js';
export type * from './worker-runtime.js';
