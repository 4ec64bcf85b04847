import type {Execution} from '@amaranthsail/backing-services';
import type {JobHandle} from './job-handle.js';
import type {ProofSystem} from './test-system.js';
import {check} from './violation.js';

function describe(executions: readonly Execution[]): string {
	return JSON.stringify(executions.map(({key, workerId, startMs, endMs, state}) => ({...key, workerId, startMs, endMs, state})));
}

/**
 * Checks what must hold for the starts of every job: no task of an attempt starts twice, and attempts never overlap.
 *
 * @param executions - Starts of any jobs.
 * @throws Violation with the starts of the job concerned.
 */
export function checkStarts(executions: readonly Execution[]): void {
	const byJob = new Map<string, Execution[]>();
	for (const execution of executions) {
		const starts = byJob.get(execution.key.jobId) ?? [];
		starts.push(execution);
		byJob.set(execution.key.jobId, starts);
	}

	for (const starts of byJob.values()) {
		const tasks = new Set(starts.map(({key}) => `${key.attempt}/${key.taskIndex}`));
		check(tasks.size === starts.length, `a task started twice: ${describe(starts)}`);
		for (const later of starts) {
			const earlier = starts.filter(({key}) => key.attempt < later.key.attempt);
			check(
				earlier.every(({endMs}) => endMs !== undefined && endMs <= later.startMs),
				`attempts overlap: ${describe(starts)}`,
			);
		}
	}
}

/**
 * Checks that a job has completed with the complete answer of one attempt, in which every task ran exactly once.
 *
 * @param system - The system.
 * @param job - The job.
 * @param attempts - Number of attempts that started a task; any when absent.
 * @throws Violation when it has not.
 */
export async function checkCompletedOnce(system: ProofSystem, job: JobHandle, attempts?: number): Promise<void> {
	const view = await system.view(job, 20_000);
	check(view.state === 'completed' && view.outcome === 'completed', `the job is not completed: ${JSON.stringify(view)}`);
	const starts = await system.executions(job.jobId);
	checkStarts(starts);
	const counted = starts.filter(({key, state}) => key.attempt === view.attempt && state === 'finished');
	check(counted.length === job.taskCount, `attempt ${view.attempt} has not run in full: ${describe(starts)}`);
	check(!starts.some(({key}) => key.attempt > view.attempt), `an attempt started after the completed one: ${describe(starts)}`);
	const seen = new Set(starts.map(({key}) => key.attempt)).size;
	check(attempts === undefined || seen === attempts, `${seen} attempts started instead of ${attempts}: ${describe(starts)}`);
	const answer = await system.answer(job);
	const tasks = answer.body.tasks as ReadonlyArray<{readonly taskIndex: number; readonly value?: {readonly jobId?: string; readonly taskIndex?: number}}> | undefined;
	check(answer.status === 200 && tasks?.length === job.taskCount, `the answer is not complete: ${JSON.stringify(answer.body)}`);
	check(
		tasks.every((task, index) => task.taskIndex === index && task.value?.jobId === job.jobId && task.value.taskIndex === index),
		`the answer is not that of the job: ${JSON.stringify(answer.body)}`,
	);
}
