export * from './commands.js';
export * from './oracle.js';
export * from './world.js';
export * from './virtual-time.js';
export * from './sim-network.js';
