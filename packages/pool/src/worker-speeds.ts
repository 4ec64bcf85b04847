import type {PaceSample} from './pace-observation.js';

/** Estimates how fast each worker is, relative to the median of its service. */
export class WorkerSpeeds {
	/** @param _samples - Paces from one list of a worker. */
	observe(_samples: readonly PaceSample[]): void {
		// The estimator follows; until then every worker counts as unknown.
	}

	/**
	 * @param _agent - Name of the worker's agent.
	 * @returns The worker's speed; 1 is the median of its service, and also stands for a worker that is not known yet.
	 */
	speedOf(_agent: string): number {
		return 1;
	}
}
