/** What can be observed of a worker that may have ended with its runs. */
export const WORKER_OBSERVATIONS = {
	/** Another incarnation has answered on its VM, or a later one with its id has answered elsewhere. */
	replaced: 'a new life of the worker has reported',
	/** No lists have arrived, and nobody has renewed its lease, until the lease had expired on the slowest clock allowed. */
	leaseExpired: 'silent until its lease passed',
	/** It has deregistered and does not answer any more, and no run is expected there. */
	departedIdle: 'left',
	/** It has deregistered and does not answer any more. */
	departing: 'departing',
	/** No lists have arrived for some time. */
	silent: 'silent',
} as const;

/** One of {@link WORKER_OBSERVATIONS}. */
export type WorkerObservation = (typeof WORKER_OBSERVATIONS)[keyof typeof WORKER_OBSERVATIONS];

/**
 * Whether an observation proves that none of the runs that are expected on the worker is at work any more.
 *
 * - A new incarnation holds nothing of the one before it, and only one of them can own the port and the id.
 * - A worker kills all its runs when its lease expires on its own clock.
 * - A worker whose deregistration is not acknowledged goes on for some seconds. That an acknowledgement was sent does not
 *   show that it has arrived, and a refused connection may be due to the link.
 * - A worker that is cut off goes on.
 *
 * Single runs end by the worker's own lists: an end that is listed, or lists that were requested after the start or the
 * stop was acknowledged and lack the run.
 */
const PROVES_END: Readonly<Record<WorkerObservation, boolean>> = {
	[WORKER_OBSERVATIONS.replaced]: true,
	[WORKER_OBSERVATIONS.leaseExpired]: true,
	[WORKER_OBSERVATIONS.departedIdle]: true,
	[WORKER_OBSERVATIONS.departing]: false,
	[WORKER_OBSERVATIONS.silent]: false,
};

/**
 * Judges whether the tasks of a worker may be started elsewhere.
 *
 * @param observation - What was observed of the worker.
 * @returns Whether its runs have certainly ended; otherwise its lease has to expire first.
 */
export function provesEnd(observation: WorkerObservation): boolean {
	return PROVES_END[observation];
}
