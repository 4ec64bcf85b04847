/**
 * Tests of platform/soak/tests/outside-clients.test.ts that exceeded their bound of 90,000 KB of resident memory on the
 * x86-64 machine of the second review, on untouched programs, in so many of 7 runs; they are entries of KNOWN-RED.txt.
 * Their titles are made from a template there, and scripts/check-known-red.js finds titles only where they are written out.
 */
export const TESTS_OVER_THEIR_BOUND = [
	{name: 'do not exhaust a process: pipelinedRequests at the callers of an entry', failedRuns: 7},
	{name: 'do not exhaust a process: pipelinedRequests at the callers of an entry, without a route', failedRuns: 5},
	{name: 'do not exhaust a process: pipelinedRequests at the peers of an entry', failedRuns: 3},
	{name: 'do not exhaust a process: pipelinedRequests at the metrics of an entry', failedRuns: 1},
	{name: 'do not exhaust a process: pipelinedRequests at the worker of an agent', failedRuns: 7},
	{name: 'do not exhaust a process: pipelinedRequests at the peers of an agent', failedRuns: 3},
] as const;
