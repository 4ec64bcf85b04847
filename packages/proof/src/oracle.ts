import {FINAL_JOB_STATES, formatTaskKey, sha256Of, type JobRow} from '@amaranthsail/core';
import type {Execution} from '@amaranthsail/backing-services';
import type {Simulation} from './simulation.js';

/**
 * Checks the invariants against everything that has happened so far.
 *
 * @param simulation - The simulation.
 * @returns One sentence for each violation.
 */
export function findViolations(simulation: Simulation): readonly string[] {
	const executions = simulation.runtimes.flatMap(runtime => runtime.executions());
	const executionsByJob = groupBy(executions, execution => execution.key.jobId);
	const jobViolations = [...executionsByJob].flatMap(([jobId, jobExecutions]) => {
		const row = simulation.jobHistory.rows.get(jobId);
		return row ? findJobViolations(row, jobExecutions, simulation.time.nowMs) : [`job ${jobId} ran without a row`];
	});
	return [...simulation.jobHistory.violations, ...jobViolations, ...findRepeatedStarts(executions)];
}

/**
 * Checks that every accepted job has ended, and that completed jobs have complete answers. It has to hold within
 * SETTLE_TIMEOUT_MS after the end of all faults.
 *
 * @param simulation - The simulation.
 * @returns One sentence for each violation.
 */
export async function findUnsettledJobs(simulation: Simulation): Promise<readonly string[]> {
	const rows = simulation.acceptedJobIds.map(jobId => simulation.jobHistory.rows.get(jobId)!);
	const unfinishedJobs = rows.filter(row => !FINAL_JOB_STATES.has(row.state)).map(row => `job ${row.jobId} is still ${row.state} in attempt ${row.attempt}`);
	const answerViolations = await Promise.all(rows.filter(row => row.state === 'completed').map(async row => findAnswerViolations(simulation, row)));
	return [...unfinishedJobs, ...answerViolations.flat()];
}

function findJobViolations(row: JobRow, executions: readonly Execution[], nowMs: number): readonly string[] {
	const violations: string[] = [];
	const executionsByAttempt = groupBy(executions, execution => execution.key.attempt);
	const {jobId, spec} = row;
	if (row.outcome === 'not_run' && executions.length > 0) {
		violations.push(`job ${jobId} was reported as not run but ran in attempts ${[...executionsByAttempt.keys()].join(', ')}`);
	}

	if (!spec.repeatable && executionsByAttempt.size > 1) {
		violations.push(`job ${jobId} is not repeatable and ran in attempts ${[...executionsByAttempt.keys()].join(', ')}`);
	}

	for (const [attempt, attemptExecutions] of executionsByAttempt) {
		const endMs = Math.max(...attemptExecutions.map(execution => execution.endMs ?? nowMs));
		const overlappingExecution = executions.find(execution => execution.key.attempt > attempt && execution.startMs < endMs);
		if (overlappingExecution) {
			violations.push(`attempt ${overlappingExecution.key.attempt} of job ${jobId} started at ${overlappingExecution.startMs} while attempt ${attempt} ran until ${endMs}`);
		}
	}

	const lastAttemptExecutions = executionsByAttempt.get(row.attempt) ?? [];
	const finishedTaskIndices = new Set(lastAttemptExecutions.filter(execution => execution.state === 'finished').map(execution => execution.key.taskIndex));
	if (row.state === 'completed' && finishedTaskIndices.size !== spec.taskCount) {
		violations.push(`job ${jobId} is completed but only ${finishedTaskIndices.size} of ${spec.taskCount} tasks finished`);
	}

	return violations;
}

function findRepeatedStarts(executions: readonly Execution[]): readonly string[] {
	return [...groupBy(executions, execution => formatTaskKey(execution.key))]
		.filter(([, taskExecutions]) => taskExecutions.length > 1)
		.map(([key, taskExecutions]) => `task ${key} was started ${taskExecutions.length} times`);
}

async function findAnswerViolations(simulation: Simulation, row: JobRow): Promise<readonly string[]> {
	if (row.answers.length !== row.spec.taskCount) {
		return [`job ${row.jobId} has ${row.answers.length} of ${row.spec.taskCount} answers`];
	}

	const contents = await Promise.all(row.answers.map(async answer => simulation.objects.get(answer.objectKey)));
	return row.answers.flatMap((answer, index) => {
		const content = contents[index]!;
		const isComplete = content.ok && content.value?.length === answer.lengthBytes && sha256Of(content.value) === answer.sha256;
		const parsed = isComplete ? JSON.parse(new TextDecoder().decode(content.value)) as {readonly jobId: string; readonly attempt: number} : undefined;
		const isFromAttempt = parsed?.jobId === row.jobId && parsed.attempt === row.attempt;
		return isFromAttempt ? [] : [`the answer of task ${answer.taskIndex} of job ${row.jobId} is incomplete or belongs to another attempt`];
	});
}

function groupBy<Key, Item>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}
