export * from './counters.js';
export * from './start-platform.js';
export * from './start-worker.js';
export * from './standin-settings.js';
export {MAX_LINES_PER_METRIC, type MetricLines} from './statsd-sink.js';
export type {RunningServer} from './http-server.js';
