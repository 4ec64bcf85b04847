import type {Logger} from '@amaranthsail/core';

/** Runs a task again and again, one run at a time, until it is stopped. */
export class Repeater {
	readonly #intervalMs: number;
	readonly #task: () => Promise<void>;
	readonly #logger: Logger;
	#timer: NodeJS.Timeout | undefined;
	#running: Promise<void> = Promise.resolve();
	#isStopped = false;

	/**
	 * @param intervalMs - Time from the end of one run to the start of the next.
	 * @param task - What to run; an error is logged and does not stop the repetition.
	 * @param logger - Takes the errors.
	 */
	constructor(intervalMs: number, task: () => Promise<void>, logger: Logger) {
		this.#intervalMs = intervalMs;
		this.#task = task;
		this.#logger = logger;
	}

	/** Runs the task now and then in its interval. */
	start(): void {
		this.#running = this.#run();
	}

	/** Stops and waits for the run that is under way. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		await this.#running;
	}

	async #run(): Promise<void> {
		try {
			await this.#task();
		} catch (error) {
			this.#logger.error('repeated task failed', {error: error instanceof Error ? error.stack : String(error)});
		}

		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				this.start();
			}, this.#intervalMs);
		}
	}
}
