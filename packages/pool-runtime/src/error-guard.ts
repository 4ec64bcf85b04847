import process from 'node:process';
import type {Logger} from '@amaranthsail/core';
import type {ProcessMetrics} from './metrics.js';
import {sleep} from './sleep.js';

/** Delay before a background task that failed is started again; bounds the log lines of one that always fails. */
const RESTART_DELAY_MS = 500;

/** Logs and counts unexpected errors, so that one of them ends neither the process nor its other work. */
export class ErrorGuard {
	readonly #logger: Logger;
	readonly #metrics: ProcessMetrics;

	/**
	 * @param logger - Receives a line for each error.
	 * @param metrics - Counts the errors by the place where they occurred.
	 */
	constructor(logger: Logger, metrics: ProcessMetrics) {
		this.#logger = logger;
		this.#metrics = metrics;
	}

	/**
	 * Records an unexpected error.
	 *
	 * @param place - What failed; one of a fixed set of names.
	 * @param error - The error.
	 * @param fields - Further fields of the log line.
	 */
	record(place: string, error: unknown, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#logger.error('unexpected error', {place, error: error instanceof Error ? (error.stack ?? error.message) : String(error), ...fields});
		this.#metrics.count('unexpected_errors', {place});
	}

	/**
	 * Runs a background task, and starts it again when it fails.
	 *
	 * @param place - Name of the task.
	 * @param task - Ends when it has been stopped.
	 */
	async supervise(place: string, task: () => Promise<void>): Promise<void> {
		for (;;) {
			try {
				await task();
				return;
			} catch (error) {
				this.record(place, error);
				await sleep(RESTART_DELAY_MS);
			}
		}
	}

	/** Records errors that nothing has handled, instead of letting them end the process. */
	install(): void {
		process.on('uncaughtException', error => {
			this.record('process', error);
		});
	}
}
