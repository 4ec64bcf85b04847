import type {JobSpec, UsageReport, WorkerFacts} from '@amaranthsail/core';
import {largestFreeBlock} from './accelerator-blocks.js';
import type {PlacementView} from './gang-placement.js';
import {addTo, LIMIT_NAMES, limitsOf, type Limits} from './scalar-resources.js';
import type {PackingWorker} from './packing-state.js';
import type {JobEntry} from './job-entry.js';
import type {PlacedTask} from './scheduler.js';
import {WorkerState, type Grant} from './worker-state.js';

/** What all workers have. */
export type ClusterCapacity = {
	/** Accelerators of usable workers. */
	readonly accelerators: number;
	/** Slots of usable workers. */
	readonly slots: number;
	/** Accelerators of the largest worker. */
	readonly largestWorker: number;
	/** The smallest part of the other four limits that comes with one accelerator. */
	readonly perAccelerator: Limits;
};

/** The workers of a failure domain and what they have granted. */
export class ClusterState {
	readonly workers = new Map<string, WorkerState>();
	/** Grows with each change that can affect guarantees. */
	fixedVersion = 0;
	/** Grows with each change of the workers' facts. */
	factsVersion = 0;
	/** Grants on workers that are not known yet, or not any more, by worker and key. */
	readonly #absent = new Map<string, Map<string, Grant>>();
	#capacity: ClusterCapacity = capacityOf([]);
	#capacityFor = 0;
	/** Grows when the workers, their capacity or usability change. */
	#capacityVersion = 0;

	/**
	 * Adds a worker or takes over its facts.
	 *
	 * @param facts - What the agent announced.
	 */
	upsert(facts: WorkerFacts): void {
		const worker = this.workers.get(facts.workerId);
		if (worker) {
			const hasChanged = JSON.stringify(worker.facts) !== JSON.stringify(facts);
			worker.update(facts);
			this.factsVersion += Number(hasChanged);
			this.fixedVersion += Number(hasChanged);
			this.#capacityVersion += Number(hasChanged);
			return;
		}

		const added = new WorkerState(facts);
		for (const [key, grant] of this.#absent.get(facts.workerId) ?? []) {
			added.add(key, grant);
		}

		this.#absent.delete(facts.workerId);
		this.workers.set(facts.workerId, added);
		this.factsVersion++;
		this.fixedVersion++;
		this.#capacityVersion++;
	}

	/**
	 * Drops a worker. Its grants are kept until their jobs end, in case it comes back.
	 *
	 * @param workerId - The worker.
	 */
	remove(workerId: string): void {
		const worker = this.workers.get(workerId);
		if (worker && worker.grants.size > 0) {
			this.#absent.set(workerId, new Map(worker.grants));
		}

		this.workers.delete(workerId);
		this.factsVersion++;
		this.fixedVersion++;
		this.#capacityVersion++;
	}

	/**
	 * Books tasks of a job.
	 *
	 * @param entry - The job.
	 * @param tasks - Where its tasks go.
	 * @param nowMs - The time of the grant.
	 * @param suffix - Tells a second attempt's grants from the first one's.
	 */
	book(entry: JobEntry, tasks: readonly PlacedTask[], nowMs: number, suffix = ''): void {
		for (const task of tasks) {
			const grant: Grant = {
				jobId: entry.job.jobId,
				taskIndex: task.taskIndex,
				account: entry.spec.account,
				fixed: !entry.spec.repeatable,
				inside: entry.inside,
				accelerators: task.accelerators,
				granted: entry.spec.shape,
				grantedAtMs: nowMs,
				charge: limitsOf(entry.spec.shape),
			};
			this.#add(task.workerId, grantKey(entry.job.jobId, task.taskIndex, suffix), grant);
		}

		this.fixedVersion += Number(!entry.spec.repeatable);
	}

	/**
	 * Gives back everything that a job holds.
	 *
	 * @param entry - The job.
	 */
	release(entry: JobEntry): void {
		for (const task of entry.tasks) {
			this.#remove(task.workerId, grantKey(entry.job.jobId, task.taskIndex, ''));
		}

		for (const task of entry.duplicates) {
			this.#remove(task.workerId, grantKey(entry.job.jobId, task.taskIndex, DUPLICATE));
		}

		this.fixedVersion += Number(!entry.spec.repeatable);
	}

	/**
	 * Corrects the charge of a task by measured use.
	 *
	 * @param entry - The job.
	 * @param usage - The report.
	 */
	correct(entry: JobEntry, usage: UsageReport): void {
		const task = entry.tasks.find(placed => placed.taskIndex === usage.taskIndex);
		if (task) {
			this.workers.get(task.workerId)?.correct(grantKey(usage.jobId, usage.taskIndex, ''), usage);
			this.fixedVersion += Number(!entry.spec.repeatable);
		}
	}

	/**
	 * Shows workers to a placement.
	 *
	 * @param spec - The job.
	 * @param accepts - Whether a worker may be used.
	 * @param keeps - Which grants stay; without it, all do.
	 * @returns Free space per worker that has an endpoint for the job.
	 */
	views(spec: JobSpec, accepts: (worker: WorkerState) => boolean, keeps?: (grant: Grant) => boolean): PlacementView[] {
		const views: PlacementView[] = [];
		for (const worker of this.workers.values()) {
			const endpointId = worker.endpointFor(spec.service);
			if (endpointId === undefined || !accepts(worker)) {
				continue;
			}

			const {workerId, rack} = worker.facts;
			views.push({workerId, rack, endpointId, ...keeps ? spaceWith(worker, keeps) : {free: worker.free, room: worker.room}});
		}

		return views;
	}

	/**
	 * Describes the workers for packing guarantees.
	 *
	 * @param isFixed - Which grants have to stay.
	 * @returns The usable workers with the grants that stay.
	 */
	packingWorkers(isFixed: (grant: Grant) => boolean): readonly PackingWorker[] {
		return [...this.workers.values()].filter(worker => worker.usable).map(worker => ({
			workerId: worker.workerId,
			rack: worker.facts.rack,
			accelerators: worker.facts.capacity.accelerators,
			capacity: limitsOf(worker.facts.capacity),
			fixed: [...worker.grants.values()].filter(grant => isFixed(grant)),
		}));
	}

	/**
	 * Lists the services that take new work.
	 *
	 * @returns Services with an endpoint that is not leaving on a usable worker, in order.
	 */
	openServices(): readonly string[] {
		const endpoints = [...this.workers.values()].filter(worker => worker.usable).flatMap(worker => worker.facts.endpoints);
		return [...new Set(endpoints.filter(endpoint => !endpoint.leaving).map(endpoint => endpoint.service))].toSorted();
	}

	/**
	 * Marks a worker as usable or not.
	 *
	 * @param workerId - The worker.
	 * @param usable - Whether it may get work.
	 */
	setUsable(workerId: string, usable: boolean): void {
		const worker = this.workers.get(workerId);
		if (worker && worker.usable !== usable) {
			worker.usable = usable;
			this.fixedVersion++;
			this.#capacityVersion++;
		}
	}

	/** What the workers have, whether used or not. */
	capacity(): ClusterCapacity {
		if (this.#capacityFor !== this.#capacityVersion) {
			this.#capacity = capacityOf([...this.workers.values()]);
			this.#capacityFor = this.#capacityVersion;
		}

		return this.#capacity;
	}

	/** What is idle on usable workers. */
	idle(): {readonly accelerators: number; readonly largestBlock: number} {
		let accelerators = 0;
		let largestBlock = 0;
		for (const worker of this.workers.values()) {
			if (worker.usable) {
				accelerators += worker.free.filter(Boolean).length;
				largestBlock = Math.max(largestBlock, largestFreeBlock(worker.free));
			}
		}

		return {accelerators, largestBlock};
	}

	#add(workerId: string, key: string, grant: Grant): void {
		const worker = this.workers.get(workerId);
		if (worker) {
			worker.add(key, grant);
			return;
		}

		const absent = this.#absent.get(workerId) ?? new Map<string, Grant>();
		absent.set(key, grant);
		this.#absent.set(workerId, absent);
	}

	#remove(workerId: string, key: string): void {
		this.workers.get(workerId)?.remove(key);
		const absent = this.#absent.get(workerId);
		absent?.delete(key);
		if (absent?.size === 0) {
			this.#absent.delete(workerId);
		}
	}
}

function capacityOf(workers: readonly WorkerState[]): ClusterCapacity {
	const parts = workers
		.filter(worker => worker.facts.capacity.accelerators > 0)
		.map(({facts}) => limitsOf(facts.capacity).map(amount => amount / facts.capacity.accelerators));
	let accelerators = 0;
	let slots = 0;
	for (const worker of workers) {
		if (worker.usable) {
			accelerators += worker.facts.capacity.accelerators;
			slots += worker.facts.capacity.slots;
		}
	}

	return {
		accelerators,
		slots,
		largestWorker: Math.max(0, ...workers.map(worker => worker.facts.capacity.accelerators)),
		perAccelerator: LIMIT_NAMES.map((_, index) => parts.length === 0 ? 0 : Math.min(...parts.map(part => part[index]!))),
	};
}

/** Marks the grants of a second attempt. */
export const DUPLICATE = '+';

function grantKey(jobId: string, taskIndex: number, suffix: string): string {
	return `${jobId}/${taskIndex}${suffix}`;
}

function spaceWith(worker: WorkerState, keeps: (grant: Grant) => boolean): {free: readonly boolean[]; room: Limits} {
	const free = Array.from({length: worker.facts.capacity.accelerators}, () => true);
	const room = limitsOf(worker.facts.capacity);
	for (const grant of worker.grants.values()) {
		if (!keeps(grant)) {
			continue;
		}

		addTo(room, grant.charge, -1);
		for (const number of grant.accelerators) {
			free[number] = false;
		}
	}

	return {free, room};
}
