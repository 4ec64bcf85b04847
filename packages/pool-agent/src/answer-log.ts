import type {Logger} from '@amaranthsail/core';

/** Logs when the worker stops answering its agent, and when it answers again. */
export class AnswerLog {
	readonly #logger: Logger;
	#isAnswering = false;

	/** @param logger - Receives the changes. */
	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** @param worker - Incarnation that is announced when an answer arrives, if any. */
	recordAnswer(worker: string | undefined): void {
		this.#record(true, worker, '');
	}

	/**
	 * Records a call without an answer, or a refused one.
	 *
	 * @param worker - Incarnation that is announced then, if any.
	 * @param reason - Why there is no answer.
	 */
	recordFailure(worker: string | undefined, reason: string): void {
		this.#record(false, worker, reason);
	}

	#record(isAnswering: boolean, worker: string | undefined, reason: string): void {
		if (isAnswering !== this.#isAnswering) {
			this.#isAnswering = isAnswering;
			this.#logger.info(isAnswering ? 'worker answers' : 'worker does not answer', {worker: worker ?? 'unknown', reason});
		}
	}
}
