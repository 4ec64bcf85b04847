export * from './entry-program.js';
