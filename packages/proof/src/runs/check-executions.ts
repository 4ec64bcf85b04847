import type {Execution} from '@amaranthsail/backing-services';
import type {JobHandle} from './job-handle.js';
import type {TestSystem} from './test-system.js';
import {check} from './violation.js';

function formatExecutions(executions: readonly Execution[]): string {
	return JSON.stringify(executions.map(({key, workerId, startMs, endMs, state}) => ({...key, workerId, startMs, endMs, state})));
}

/**
 * Checks that no task of an attempt has started twice and that the attempts of a job do not overlap.
 *
 * @param executions - Executions of any jobs.
 * @throws Violation with the executions of the job concerned.
 */
export function checkStarts(executions: readonly Execution[]): void {
	const executionsByJob = new Map<string, Execution[]>();
	for (const execution of executions) {
		const jobExecutions = executionsByJob.get(execution.key.jobId) ?? [];
		jobExecutions.push(execution);
		executionsByJob.set(execution.key.jobId, jobExecutions);
	}

	for (const jobExecutions of executionsByJob.values()) {
		const tasks = new Set(jobExecutions.map(({key}) => `${key.attempt}/${key.taskIndex}`));
		check(tasks.size === jobExecutions.length, `a task started twice: ${formatExecutions(jobExecutions)}`);
		for (const later of jobExecutions) {
			const earlier = jobExecutions.filter(({key}) => key.attempt < later.key.attempt);
			check(
				earlier.every(({endMs}) => endMs !== undefined && endMs <= later.startMs),
				`attempts overlap: ${formatExecutions(jobExecutions)}`,
			);
		}
	}
}

/**
 * Checks that a job has completed with the complete answer of one attempt in which every task ran exactly once.
 *
 * @param system - The system.
 * @param job - The job.
 * @param expectedAttemptCount - Expected number of attempts that started a task; not checked when absent.
 * @throws Violation when the job does not meet this.
 */
export async function checkCompletedOnce(system: TestSystem, job: JobHandle, expectedAttemptCount?: number): Promise<void> {
	const jobView = await system.readJob(job, 20_000);
	check(jobView.state === 'completed' && jobView.outcome === 'completed', `the job is not completed: ${JSON.stringify(jobView)}`);
	const executions = await system.listExecutions(job.jobId);
	checkStarts(executions);
	const finishedExecutions = executions.filter(({key, state}) => key.attempt === jobView.attempt && state === 'finished');
	check(finishedExecutions.length === job.taskCount, `attempt ${jobView.attempt} has not run completely: ${formatExecutions(executions)}`);
	check(!executions.some(({key}) => key.attempt > jobView.attempt), `an attempt started after the completed one: ${formatExecutions(executions)}`);
	const attemptCount = new Set(executions.map(({key}) => key.attempt)).size;
	check(expectedAttemptCount === undefined || attemptCount === expectedAttemptCount, `${attemptCount} attempts started instead of ${expectedAttemptCount}: ${formatExecutions(executions)}`);
	const answer = await system.readAnswer(job);
	const tasks = answer.body.tasks as ReadonlyArray<{readonly taskIndex: number; readonly value?: {readonly jobId?: string; readonly taskIndex?: number}}> | undefined;
	check(answer.status === 200 && tasks?.length === job.taskCount, `the answer is not complete: ${JSON.stringify(answer.body)}`);
	check(
		tasks.every((task, index) => task.taskIndex === index && task.value?.jobId === job.jobId && task.value.taskIndex === index),
		`the answer belongs to another job: ${JSON.stringify(answer.body)}`,
	);
}
