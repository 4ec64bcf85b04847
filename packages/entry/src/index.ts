export * from './settings.js';
export * from './entry-program.js';
