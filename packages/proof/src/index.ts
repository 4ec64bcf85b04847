export * from './fuzz-commands.js';
export * from './oracle.js';
export * from './simulation.js';
export * from './virtual-time.js';
export * from './sim-network.js';
