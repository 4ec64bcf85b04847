import type {JobSpec, WorkerFacts} from '@amaranthsail/core';
import {ClusterState} from './cluster-state.js';
import {placeGang} from './gang-placement.js';
import {GuaranteeGuard} from './guarantee-guard.js';
import {JobPlacer} from './job-placer.js';
import type {DeclaredRack, Guarantee} from './scheduler.js';

/** Why a job does not even fit an empty cluster. */
export type EmptyClusterRefusal = 'service' | 'shape' | 'guarantees';

/** The known and declared workers without any work, to tell what can never fit. */
export class EmptyCluster {
	readonly #cluster = new ClusterState();
	readonly #guard = new GuaranteeGuard(this.#cluster);
	readonly #placer = new JobPlacer(this.#cluster, this.#guard);
	readonly #answers = new Map<string, EmptyClusterRefusal | undefined>();
	readonly #services = new Set<string>();

	/**
	 * @param known - Facts of the known workers; leaving endpoints count, because they will be replaced.
	 * @param declared - Declared racks; their workers that are not known count as running every known service.
	 * @param guarantees - The guarantees in force.
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

	/** Whether any worker is known; without one nothing can be told. */
	get isUnknown(): boolean {
		return this.#services.size === 0;
	}

	/**
	 * Checks whether a job can ever run.
	 *
	 * @param spec - The job.
	 * @param avoided - Workers that it may not use.
	 * @returns What refuses it, or undefined.
	 */
	refuses(spec: JobSpec, avoided: ReadonlySet<string> = new Set()): EmptyClusterRefusal | undefined {
		if (!this.#services.has(spec.service)) {
			return 'service';
		}

		const key = JSON.stringify([spec.service, spec.taskCount, spec.shape, spec.adjacency, spec.repeatable, spec.account, [...avoided]]);
		if (!this.#answers.has(key)) {
			if (this.#answers.size >= MAX_ANSWERS) {
				this.#answers.clear();
			}

			this.#answers.set(key, this.#check(spec, avoided));
		}

		return this.#answers.get(key);
	}

	#check(spec: JobSpec, avoided: ReadonlySet<string>): EmptyClusterRefusal | undefined {
		const views = this.#cluster.views(spec, worker => !avoided.has(worker.workerId));
		if (!placeGang(spec, views, 'best')) {
			return 'shape';
		}

		return this.#placer.place(spec, views, 'best') ? undefined : 'guarantees';
	}
}

/** Answers kept; shapes of one installation are few, so this only bounds memory. */
const MAX_ANSWERS = 1000;
