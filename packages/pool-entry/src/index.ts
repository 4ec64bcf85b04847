export * from './pool-entry-program.js';
