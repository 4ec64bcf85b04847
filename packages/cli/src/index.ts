export * from './command-table.js';
export * from './command-result.js';
export * from './entry-client.js';
export * from './exit-code.js';
