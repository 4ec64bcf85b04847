import {check} from '../violation.js';
import {checkCompletedOnce, checkStarts} from '../check-executions.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {JobHandle} from '../job-handle.js';
import type {JobRequest, ProofSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {waitUntil} from '../wait-until.js';

/** Run time that is longer than a task lease of 10,000 ms, so that the lease ends the task of a lost agent. */
const LONGER_THAN_LEASE_MS = 13_000;

/** Longest wait for a job that runs again after a fence. */
const SECOND_ATTEMPT_TIMEOUT_MS = 45_000;

type RunningJob = {readonly job: JobHandle; readonly workerId: string};

async function startLongJob(system: ProofSystem, operation: JobRequest['operation']): Promise<RunningJob> {
	const job = await system.submit({operation, runMs: LONGER_THAN_LEASE_MS});
	const {workers} = await system.untilState(job, 'running', 15_000);
	return {job, workerId: workers[0]!};
}

/** Agents of a repeatable and of a non-repeatable job are killed. */
export const agentKilled: Scenario = {
	name: 'agent-killed',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const repeatable = await startLongJob(system, 'photo-assessment');
		const once = await startLongJob(system, 'dispatch-matching');
		const workers = [...new Set([repeatable.workerId, once.workerId])].map(workerId => system.workerOf(workerId));
		await Promise.all(workers.map(async ({agent}) => agent.stop('SIGKILL')));
		const [, unknown] = await Promise.all([
			system.untilState(repeatable.job, 'completed', SECOND_ATTEMPT_TIMEOUT_MS),
			system.untilState(once.job, 'unknown', SECOND_ATTEMPT_TIMEOUT_MS),
		]);
		await checkCompletedOnce(system, repeatable.job, 2);
		check(unknown.outcome === 'unknown', `the outcome is ${unknown.outcome}`);
		await Promise.all(workers.map(async worker => system.local.restartAgent(worker)));
		await system.untilReady();
		const starts = await system.executions(once.job.jobId);
		check(starts.length === 1, `the non-repeatable job started ${starts.length} times`);
		checkStarts(await system.executions());
	},
};

/** An agent is paused for longer than the lease of its tasks and goes on. */
export const agentPaused: Scenario = {
	name: 'agent-paused',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const {job, workerId} = await startLongJob(system, 'photo-assessment');
		const {agent} = system.workerOf(workerId);
		const pausedMs = monotonicNowMs();
		agent.signal('SIGSTOP');
		try {
			await waitUntil('the end of the pause', 20_000, async () => monotonicNowMs() - pausedMs >= 15_000 ? true : undefined);
		} finally {
			agent.signal('SIGCONT');
		}

		await system.untilState(job, 'completed', SECOND_ATTEMPT_TIMEOUT_MS);
		await checkCompletedOnce(system, job, 2);
		const starts = await system.executions(job.jobId);
		const [first] = starts.toSorted((left, right) => left.key.attempt - right.key.attempt);
		check(first!.state === 'stopped', `the first attempt ended as ${first!.state}`);
		// The last acknowledged heartbeat was sent before the pause, so the lease of 10,000 ms ends at most that much later.
		const ranOnMs = first!.endMs! - pausedMs;
		check(ranOnMs <= 10_000, `the task ran on for ${ranOnMs} ms after its agent was paused`);
		checkStarts(await system.executions());
		await system.untilReady();
	},
};

/** An agent with a running task shuts down gracefully. */
export const agentDrained: Scenario = {
	name: 'agent-drained',
	properties: ['P7', 'P9'],
	async run({system}) {
		const job = await system.submit({operation: 'dispatch-matching', runMs: 4000});
		const {workers: [workerId]} = await system.untilState(job, 'running', 15_000);
		const worker = system.workerOf(workerId!);
		const exitCode = await worker.agent.stop('SIGTERM', 20_000);
		check(exitCode === 0, `the drained agent exited with ${exitCode}`);
		await checkCompletedOnce(system, job, 1);
		await system.local.restartAgent(worker);
		await system.untilReady();
	},
};
