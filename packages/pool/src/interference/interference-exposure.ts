import type {StepState} from '../job-model.js';
import type {TrackedWorker} from '../tracked-worker.js';
import type {Interference} from './interference.js';
import {kindOf} from './task-kind.js';

/**
 * Tells a scheduling round which workers have work that would slow a unit down, or be slowed down by it.
 *
 * Costs are kept for the round by worker and kind, as a round may offer a worker to thousands of units.
 */
export class InterferenceExposure {
	readonly #pairs: Interference;
	readonly #costs = new Map<string, Map<string, number>>();

	/** @param pairs - The pairs that slow each other down. */
	constructor(pairs: Interference) {
		this.#pairs = pairs;
	}

	/** Forgets all costs; called at the start of a round. */
	clear(): void {
		this.#costs.clear();
	}

	/** @param incarnations - Workers that have got new runs in this round. */
	forget(incarnations: readonly string[]): void {
		for (const incarnation of incarnations) {
			this.#costs.delete(incarnation);
		}
	}

	/**
	 * @param step - Step of the unit.
	 * @param worker - A worker.
	 * @returns The cost of placing a task there, see {@link Interference.penaltyOf}.
	 */
	of(step: StepState, worker: TrackedWorker): number {
		if (this.#pairs.foundCount === 0) {
			return 0;
		}

		let costs = this.#costs.get(worker.incarnation);
		if (!costs) {
			costs = new Map();
			this.#costs.set(worker.incarnation, costs);
		}

		const kind = kindOf(step);
		let cost = costs.get(kind);
		if (cost === undefined) {
			cost = this.#pairs.penaltyOf(kind, [...worker.runs.values()].map(run => kindOf(run.task.step)));
			costs.set(kind, cost);
		}

		return cost;
	}

	/** @returns The cost of placing two tasks of a step on one worker. */
	ofUnit(step: StepState): number {
		const kind = kindOf(step);
		return this.#pairs.penaltyOf(kind, [kind]);
	}
}
