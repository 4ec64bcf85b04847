export * from './scheduler.js';
