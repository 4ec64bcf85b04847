import type {StepState} from './job-model.js';
import type {PoolContext} from './pool-context.js';

/** All agents report to a new leader within this time. */
const UNKNOWN_AFTER_MS = 10_000;

/** Logs evacuations that concern no worker, and steps that wait for the end of one. */
export class EvacuationLog {
	readonly #context: PoolContext;
	readonly #waitingSteps = new WeakSet<StepState>();
	/** Failure domains without workers, and since when they are evacuated and without any. */
	readonly #unknownSinceMs = new Map<string, number>();

	/** @param context - State of the pool. */
	constructor(context: PoolContext) {
		this.#context = context;
	}

	/**
	 * Logs once for each step that all workers with its required label are in evacuated failure domains.
	 *
	 * @param step - A step of which a unit could not be placed.
	 * @param service - Its service.
	 */
	recordWaiting(step: StepState, service: string): void {
		const {evacuations, workers, log} = this.#context;
		const label = step.spec.requiredLabel;
		if (evacuations.failureDomains.size === 0 || label === undefined || this.#waitingSteps.has(step)) {
			return;
		}

		const failureDomains = new Set<string>();
		for (const {facts, isLost} of workers.values()) {
			if (!isLost && facts.service === service && facts.labels.includes(label)) {
				failureDomains.add(facts.failureDomain);
			}
		}

		if (failureDomains.size > 0 && [...failureDomains].every(failureDomain => evacuations.has(failureDomain))) {
			this.#waitingSteps.add(step);
			log('step waits for evacuated workers', {job: step.job.id, step: step.number, label, failureDomains: [...failureDomains]});
		}
	}

	/** Logs once for each evacuation that its failure domain has no workers. */
	recordUnknown(): void {
		const {evacuations, workers, log} = this.#context;
		const nowMs = this.#context.nowMs();
		for (const failureDomain of this.#unknownSinceMs.keys()) {
			if (!evacuations.has(failureDomain)) {
				this.#unknownSinceMs.delete(failureDomain);
			}
		}

		for (const failureDomain of evacuations.failureDomains) {
			const sinceMs = this.#unknownSinceMs.get(failureDomain) ?? nowMs;
			this.#unknownSinceMs.set(failureDomain, sinceMs);
			if (sinceMs <= nowMs - UNKNOWN_AFTER_MS) {
				// Not logged again before the next evacuation.
				this.#unknownSinceMs.set(failureDomain, Number.POSITIVE_INFINITY);
				if (![...workers.values()].some(({facts}) => facts.failureDomain === failureDomain)) {
					log('evacuated failure domain unknown', {failureDomain});
				}
			}
		}
	}
}
