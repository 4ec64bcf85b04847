import type {Task} from './job-model.js';
import type {RowWrite} from './ports.js';
import {type RunRow, TABLES} from './rows.js';

/**
 * Encodes the stored state of a task.
 *
 * @param task - The task.
 * @returns The write of its row.
 */
export function encodeRunRow(task: Task): RowWrite {
	const row: RunRow = {
		run: task.lastRunNumber,
		...(task.run && {life: task.run.keptFor?.incarnation ?? task.run.incarnation}),
		...(!task.hasBegun && {isUnbegun: true}),
		...(task.isDone && {isDone: true}),
		...(task.failureCount > 0 && {failures: task.failureCount}),
		...(task.checkpoint !== '' && {checkpoint: task.checkpoint}),
		...(task.crashes.length > 0 && !task.isDone && {crashes: task.crashes}),
	};
	return {table: TABLES.runs, key: task.name, value: row};
}
