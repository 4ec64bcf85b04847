import type {Logger} from '@amaranthsail/core';

/** Runs an action periodically, one run at a time, until it is stopped. */
export class PeriodicAction {
	readonly #intervalMs: number;
	readonly #action: () => Promise<void>;
	readonly #logger: Logger;
	#timer: NodeJS.Timeout | undefined;
	#currentRun: Promise<void> = Promise.resolve();
	#isStopped = false;

	/**
	 * @param intervalMs - Time from the end of one run to the start of the next.
	 * @param action - The action; its errors are logged and do not end the repetition.
	 * @param logger - Logs the errors.
	 */
	constructor(intervalMs: number, action: () => Promise<void>, logger: Logger) {
		this.#intervalMs = intervalMs;
		this.#action = action;
		this.#logger = logger;
	}

	/** Runs the action at once and then at the interval. */
	start(): void {
		this.#currentRun = this.#run();
	}

	/** Ends the repetition and waits for the current run. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		await this.#currentRun;
	}

	async #run(): Promise<void> {
		try {
			await this.#action();
		} catch (error) {
			this.#logger.error('periodic action failed', {error: error instanceof Error ? error.stack : String(error)});
		}

		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				this.start();
			}, this.#intervalMs);
		}
	}
}
