import type {JobSpec, WorkerFacts} from '@amaranthsail/core';
import {ClusterState} from './cluster-state.js';
import {placeGang} from './gang-placement.js';
import {GuaranteeGuard} from './guarantee-guard.js';
import {JobPlacer} from './job-placer.js';
import type {DeclaredRack, Guarantee} from './scheduler.js';

/** Why a job does not fit even into an empty cluster. */
export type EmptyClusterRefusal = 'service' | 'shape' | 'guarantees';

/** The known and declared workers without any load, to detect jobs that can never fit. */
export class EmptyCluster {
	readonly #cluster = new ClusterState();
	readonly #guard = new GuaranteeGuard(this.#cluster);
	readonly #placer = new JobPlacer(this.#cluster, this.#guard);
	readonly #cachedReasons = new Map<string, EmptyClusterRefusal | undefined>();
	readonly #services = new Set<string>();

	/**
	 * @param known - Facts of the known workers; leaving endpoints count, because they will be replaced.
	 * @param declared - Declared racks; their workers that are not known yet count as running every known service.
	 * @param guarantees - The active guarantees.
	 */
	constructor(known: readonly WorkerFacts[], declared: readonly DeclaredRack[], guarantees: readonly Guarantee[]) {
		for (const facts of known) {
			for (const endpoint of facts.endpoints) {
				this.#services.add(endpoint.service);
			}

			this.#cluster.upsert({...facts, endpoints: facts.endpoints.map(endpoint => ({...endpoint, leaving: false}))});
		}

		const endpoints = [...this.#services].map(service => ({endpointId: service, service, leaving: false}));
		for (const {rack, workers} of declared) {
			const knownCount = known.filter(facts => facts.rack === rack).length;
			for (const [index, capacity] of workers.slice(knownCount).entries()) {
				this.#cluster.upsert({
					workerId: `declared/${rack}/${index}`, failureDomain: '', rack, capacity, endpoints,
				});
			}
		}

		this.#guard.configure(guarantees);
	}

	/** Whether no service is known, so that no job can be judged. */
	get hasNoServices(): boolean {
		return this.#services.size === 0;
	}

	/**
	 * Checks whether a job can ever run.
	 *
	 * @param spec - The job.
	 * @param avoidedWorkers - Workers that it must not use.
	 * @returns Why it can never run, or undefined if it can.
	 */
	refusalReason(spec: JobSpec, avoidedWorkers: ReadonlySet<string> = new Set()): EmptyClusterRefusal | undefined {
		if (!this.#services.has(spec.service)) {
			return 'service';
		}

		const key = JSON.stringify([spec.service, spec.taskCount, spec.shape, spec.adjacency, spec.repeatable, spec.account, [...avoidedWorkers]]);
		if (!this.#cachedReasons.has(key)) {
			if (this.#cachedReasons.size >= MAX_CACHED_REASONS) {
				this.#cachedReasons.clear();
			}

			this.#cachedReasons.set(key, this.#check(spec, avoidedWorkers));
		}

		return this.#cachedReasons.get(key);
	}

	#check(spec: JobSpec, avoidedWorkers: ReadonlySet<string>): EmptyClusterRefusal | undefined {
		const views = this.#cluster.placementViews(spec, worker => !avoidedWorkers.has(worker.workerId));
		if (!placeGang(spec, views, 'best')) {
			return 'shape';
		}

		return this.#placer.place(spec, views, 'best') ? undefined : 'guarantees';
	}
}

/** Bounds memory only, because an installation has few distinct job shapes. */
const MAX_CACHED_REASONS = 1000;
