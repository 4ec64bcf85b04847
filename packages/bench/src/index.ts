export {DIVISIONS, type Division} from './division.js';
export {SCENARIOS, type Scenario} from './scenario.js';
export {Simulation} from './simulation.js';
export {comparePolicies, type PolicyFigures} from './policy-report.js';
export type {Measures} from './measures.js';
