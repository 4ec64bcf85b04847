import type {JobSpec, WorkerFacts} from '@amaranthsail/core';
import {EmptyCluster, type EmptyClusterRefusal} from './empty-cluster.js';
import type {DeclaredRack, Guarantee} from './scheduler.js';

/** Checks jobs against the declared racks of a failure domain, without any load, before they are accepted. */
export class DeclaredCapacity {
	readonly #racks: readonly DeclaredRack[];
	readonly #guarantees: readonly Guarantee[];
	readonly #clusters = new Map<string, EmptyCluster>();

	/**
	 * @param racks - The declared racks.
	 * @param guarantees - The guarantees of the failure domain.
	 */
	constructor(racks: readonly DeclaredRack[], guarantees: readonly Guarantee[]) {
		this.#racks = racks;
		this.#guarantees = guarantees;
	}

	/**
	 * Checks whether a job can ever run, assuming that every worker runs its service.
	 *
	 * @param spec - The job.
	 * @returns Why it can never run, or undefined if it can.
	 */
	refusalReason(spec: JobSpec): EmptyClusterRefusal | undefined {
		return this.#clusterOf(spec.service).refusalReason(spec);
	}

	#clusterOf(service: string): EmptyCluster {
		let cluster = this.#clusters.get(service);
		if (!cluster) {
			const endpoints = [{endpointId: service, service, leaving: false}];
			const workers = this.#racks.flatMap(({rack, workers: capacities}) => capacities.map((capacity, index): WorkerFacts => ({
				workerId: `${rack}/${index}`, failureDomain: '', rack, capacity, endpoints,
			})));
			cluster = new EmptyCluster(workers, [], this.#guarantees);
			this.#clusters.set(service, cluster);
		}

		return cluster;
	}
}
