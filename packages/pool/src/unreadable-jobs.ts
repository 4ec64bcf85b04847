import {type ListedEnd, RUN_OUTCOMES} from './model.js';
import type {RowWrite} from './ports.js';
import {type RunRow, TABLES} from './rows.js';
import {parseTaskName} from './task-name.js';

/**
 * Jobs whose row could not be read at the takeover. Their tasks are unknown, but the ends of their runs are stored, so
 * that a later leader that can read the job starts nothing again that is done.
 */
export class UnreadableJobs {
	/** Readable rows of the tasks, by task, of each job. */
	readonly #rowsByJob = new Map<string, Map<string, RunRow>>();

	/** @param jobId - A job whose row cannot be read. */
	add(jobId: string): void {
		this.#rowsByJob.set(jobId, new Map());
	}

	/** @returns Whether the row of the job could not be read. */
	has(jobId: string): boolean {
		return this.#rowsByJob.has(jobId);
	}

	/**
	 * Keeps the stored state of a task of one of these jobs.
	 *
	 * @param task - Name of the task.
	 * @param row - Its row, if it can be read.
	 */
	addTask(task: string, row: RunRow | undefined): void {
		if (row) {
			this.#rowsOf(task)?.set(task, row);
		}
	}

	/**
	 * Records the end of a run. A failure is counted only if the row of its task can be read.
	 *
	 * @param end - The end; not processed before.
	 * @returns The write that stores it; undefined for a task of another job, or if there is nothing to store.
	 */
	recordEnd({task, run, outcome}: ListedEnd): RowWrite | undefined {
		const rows = this.#rowsOf(task);
		const row = rows?.get(task);
		const isDone = outcome === RUN_OUTCOMES.done;
		const isUncountedFailure = outcome === RUN_OUTCOMES.failed && row?.run === run && row.life !== undefined;
		if (!rows || row?.isDone === true || (!isDone && !isUncountedFailure)) {
			return undefined;
		}

		const {life, ...ended} = row ?? {run};
		const value: RunRow = isDone
			? {...ended, run: Math.max(ended.run, run), isDone}
			: {...ended, failures: (ended.failures ?? 0) + 1};
		rows.set(task, value);
		return {table: TABLES.runs, key: task, value};
	}

	#rowsOf(task: string): Map<string, RunRow> | undefined {
		return this.#rowsByJob.get(parseTaskName(task)?.jobId ?? '');
	}
}
