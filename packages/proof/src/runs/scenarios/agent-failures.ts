import {check} from '../violation.js';
import {checkCompletedOnce, checkStarts} from '../check-executions.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {JobHandle} from '../job-handle.js';
import type {JobRequest, TestSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {waitUntil} from '../wait-until.js';

/** Longer than the task lease of 10,000 ms, so that the lease ends the task of a lost agent before the task finishes. */
const RUN_BEYOND_LEASE_MS = 13_000;

/** Longest wait for the end of a second attempt, which starts only after the fence of the first one. */
const SECOND_ATTEMPT_TIMEOUT_MS = 45_000;

type RunningJob = {readonly job: JobHandle; readonly workerId: string};

async function startLongJob(system: TestSystem, operation: JobRequest['operation']): Promise<RunningJob> {
	const job = await system.submit({operation, runMs: RUN_BEYOND_LEASE_MS});
	const {workers} = await system.waitForState(job, 'running', 15_000);
	return {job, workerId: workers[0]!};
}

/** The agents of a repeatable and of a non-repeatable job are killed. */
export const agentKilled: Scenario = {
	name: 'agent-killed',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const repeatable = await startLongJob(system, 'photo-assessment');
		const nonRepeatable = await startLongJob(system, 'dispatch-matching');
		const workers = [...new Set([repeatable.workerId, nonRepeatable.workerId])].map(workerId => system.findWorker(workerId));
		await Promise.all(workers.map(async ({agent}) => agent.stop('SIGKILL')));
		const [, unknownJob] = await Promise.all([
			system.waitForState(repeatable.job, 'completed', SECOND_ATTEMPT_TIMEOUT_MS),
			system.waitForState(nonRepeatable.job, 'unknown', SECOND_ATTEMPT_TIMEOUT_MS),
		]);
		await checkCompletedOnce(system, repeatable.job, 2);
		check(unknownJob.outcome === 'unknown', `the outcome is ${unknownJob.outcome}`);
		await Promise.all(workers.map(async worker => system.localSystem.restartAgent(worker)));
		await system.waitUntilReady();
		const executions = await system.listExecutions(nonRepeatable.job.jobId);
		check(executions.length === 1, `the non-repeatable job started ${executions.length} times`);
		checkStarts(await system.listExecutions());
	},
};

/** An agent is paused for longer than the lease of its tasks and then resumed. */
export const agentPaused: Scenario = {
	name: 'agent-paused',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const {job, workerId} = await startLongJob(system, 'photo-assessment');
		const {agent} = system.findWorker(workerId);
		const pausedAtMs = monotonicNowMs();
		agent.signal('SIGSTOP');
		try {
			await waitUntil('the end of the pause', 20_000, async () => monotonicNowMs() - pausedAtMs >= 15_000 ? true : undefined);
		} finally {
			agent.signal('SIGCONT');
		}

		await system.waitForState(job, 'completed', SECOND_ATTEMPT_TIMEOUT_MS);
		await checkCompletedOnce(system, job, 2);
		const executions = await system.listExecutions(job.jobId);
		const [firstExecution] = executions.toSorted((left, right) => left.key.attempt - right.key.attempt);
		check(firstExecution!.state === 'stopped', `the first attempt ended as ${firstExecution!.state}`);
		// The last acknowledged heartbeat was sent before the pause, so the lease ends at most 10,000 ms after the start of the pause.
		const runAfterPauseMs = firstExecution!.endMs! - pausedAtMs;
		check(runAfterPauseMs <= 10_000, `the task ran for ${runAfterPauseMs} ms after its agent was paused`);
		checkStarts(await system.listExecutions());
		await system.waitUntilReady();
	},
};

/** An agent with a running task shuts down gracefully. */
export const agentDrained: Scenario = {
	name: 'agent-drained',
	properties: ['P7', 'P9'],
	async run({system}) {
		const job = await system.submit({operation: 'dispatch-matching', runMs: 4000});
		const {workers: [workerId]} = await system.waitForState(job, 'running', 15_000);
		const worker = system.findWorker(workerId!);
		const exitCode = await worker.agent.stop('SIGTERM', 20_000);
		check(exitCode === 0, `the drained agent exited with ${exitCode}`);
		await checkCompletedOnce(system, job, 1);
		await system.localSystem.restartAgent(worker);
		await system.waitUntilReady();
	},
};
