import type {Logger} from '@amaranthsail/core';
import type {WorkerLists} from '@amaranthsail/pool';
import {EndNumbers} from './end-numbers.js';

/** Logs what tells apart the ways in which ends of runs are lost around a restart of the worker. */
export class IncarnationTrace {
	readonly #logger: Logger;
	#bornMs: number | undefined;
	#endNumbers: EndNumbers | undefined;

	/** @param logger - Receives the lines. */
	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/**
	 * Logs lists of another incarnation than before, and ends that are missing in the lists.
	 *
	 * @param worker - Announced incarnation.
	 * @param lists - The lists, in the order in which the agent takes them.
	 */
	onLists(worker: string | undefined, {bornMs, ended}: WorkerLists): void {
		if (!this.#endNumbers || this.#bornMs !== bornMs) {
			const isChange = this.#endNumbers !== undefined;
			if (isChange) {
				this.#logger.info('worker incarnation changed', {
					worker: worker ?? 'unknown', bornMs: bornMs ?? 'unknown', previousBornMs: this.#bornMs ?? 'unknown', acknowledgedUpTo: this.#endNumbers!.acknowledgedUpTo,
				});
			}

			this.#bornMs = bornMs;
			this.#endNumbers = new EndNumbers(isChange);
		}

		const gap = this.#endNumbers.findGap(ended);
		if (gap) {
			this.#logger.warn('ends missing', {
				worker: worker ?? 'unknown', bornMs: bornMs ?? 'unknown', ...gap, acknowledgedUpTo: this.#endNumbers.acknowledgedUpTo,
			});
		}
	}

	/**
	 * Logs an acknowledgement that is higher than those of before.
	 *
	 * @param worker - The incarnation that it is meant for.
	 * @param sequence - Number up to which ends are acknowledged.
	 */
	onAcknowledgement(worker: string | undefined, sequence: number): void {
		if (this.#endNumbers?.recordSent(sequence)) {
			this.#logger.info('acknowledgement sent', {worker: worker ?? 'unknown', bornMs: this.#bornMs ?? 'unknown', sequence});
		}
	}
}
