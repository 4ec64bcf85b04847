import {FINAL_JOB_STATES, formatTaskKey, sha256Of, type JobRow} from '@amaranthsail/core';
import type {Execution} from '@amaranthsail/backing-services';
import type {World} from './simulation.js';

/**
 * Checks what has happened so far against what must always hold.
 *
 * @param world - The world.
 * @returns A sentence for each violation.
 */
export function findViolations(world: World): readonly string[] {
	const executions = world.runtimes.flatMap(runtime => runtime.executions());
	const byJob = groupBy(executions, execution => execution.key.jobId);
	const perJob = [...byJob].flatMap(([jobId, runs]) => {
		const row = world.history.rows.get(jobId);
		return row ? jobViolations(row, runs, world.time.nowMs) : [`job ${jobId} ran without a row`];
	});
	return [...world.history.violations, ...perJob, ...repeatedStarts(executions)];
}

/**
 * Checks what must hold after all faults have ended and time has passed.
 *
 * @param world - The world.
 * @returns A sentence for each violation.
 */
export async function findUnfinished(world: World): Promise<readonly string[]> {
	const rows = world.accepted.map(jobId => world.history.rows.get(jobId)!);
	const open = rows.filter(row => !FINAL_JOB_STATES.has(row.state)).map(row => `job ${row.jobId} is still ${row.state} in attempt ${row.attempt}`);
	const damaged = await Promise.all(rows.filter(row => row.state === 'completed').map(async row => answerViolations(world, row)));
	return [...open, ...damaged.flat()];
}

function jobViolations(row: JobRow, runs: readonly Execution[], nowMs: number): readonly string[] {
	const violations: string[] = [];
	const attempts = groupBy(runs, run => run.key.attempt);
	const {jobId, spec} = row;
	if (row.outcome === 'not_run' && runs.length > 0) {
		violations.push(`job ${jobId} was reported as not run but ran in attempts ${[...attempts.keys()].join(', ')}`);
	}

	if (!spec.repeatable && attempts.size > 1) {
		violations.push(`job ${jobId} is not repeatable and ran in attempts ${[...attempts.keys()].join(', ')}`);
	}

	for (const [attempt, started] of attempts) {
		const endMs = Math.max(...started.map(run => run.endMs ?? nowMs));
		const overlapping = runs.find(run => run.key.attempt > attempt && run.startMs < endMs);
		if (overlapping) {
			violations.push(`attempt ${overlapping.key.attempt} of job ${jobId} started at ${overlapping.startMs} while attempt ${attempt} ran until ${endMs}`);
		}
	}

	const completed = attempts.get(row.attempt) ?? [];
	const finished = new Set(completed.filter(run => run.state === 'finished').map(run => run.key.taskIndex));
	if (row.state === 'completed' && finished.size !== spec.taskCount) {
		violations.push(`job ${jobId} is completed although ${finished.size} of ${spec.taskCount} tasks finished`);
	}

	return violations;
}

function repeatedStarts(executions: readonly Execution[]): readonly string[] {
	return [...groupBy(executions, execution => formatTaskKey(execution.key))]
		.filter(([, runs]) => runs.length > 1)
		.map(([key, runs]) => `task ${key} was started ${runs.length} times`);
}

async function answerViolations(world: World, row: JobRow): Promise<readonly string[]> {
	if (row.answers.length !== row.spec.taskCount) {
		return [`job ${row.jobId} has ${row.answers.length} of ${row.spec.taskCount} answers`];
	}

	const contents = await Promise.all(row.answers.map(async answer => world.objects.get(answer.objectKey)));
	return row.answers.flatMap((answer, index) => {
		const content = contents[index]!;
		const isWhole = content.ok && content.value?.length === answer.lengthBytes && sha256Of(content.value) === answer.sha256;
		const value = isWhole ? JSON.parse(new TextDecoder().decode(content.value)) as {readonly jobId: string; readonly attempt: number} : undefined;
		const isOwn = value?.jobId === row.jobId && value.attempt === row.attempt;
		return isOwn ? [] : [`the answer of task ${answer.taskIndex} of job ${row.jobId} is not whole or not its own`];
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
