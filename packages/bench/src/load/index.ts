export {measureAgents, type AgentFigures, type AgentsResult} from './agents-load.js';
export {measureConfig, type ConfigFigures} from './config-load.js';
export {measurePath, type PathFigures, type PathResult} from './path-load.js';
export {formatAgents, formatConfig, formatPath} from './report.js';
export {LOAD_SETTINGS, type LoadMode} from './load-settings.js';
