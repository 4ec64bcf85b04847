import type {JobSpec, UsageReport, WorkerFacts} from '@amaranthsail/core';
import {largestFreeBlockSize} from './accelerator-blocks.js';
import type {PlacementView} from './gang-placement.js';
import {addScaled, SCALAR_RESOURCE_NAMES, scalarAmountsOf, type ScalarAmounts} from './scalar-resources.js';
import type {PackingWorker} from './packing-state.js';
import type {JobEntry} from './job-entry.js';
import type {PlacedTask} from './scheduler.js';
import {WorkerState, type Allocation} from './worker-state.js';

/** Total capacity of the workers. */
export type ClusterCapacity = {
	/** Accelerators of usable workers. */
	readonly accelerators: number;
	/** Slots of usable workers. */
	readonly slots: number;
	/** Accelerators of the largest worker. */
	readonly maxWorkerAccelerators: number;
	/** The smallest scalar amounts per accelerator on any worker. */
	readonly amountsPerAccelerator: ScalarAmounts;
};

/** The workers of a failure domain and their allocations. */
export class ClusterState {
	readonly workers = new Map<string, WorkerState>();
	/** Incremented with each change that can affect the packing of guarantees. */
	packingVersion = 0;
	/** Incremented with each change of the workers' facts. */
	factsVersion = 0;
	/** Allocations on workers that are not known yet or have been removed, by worker and key. */
	readonly #allocationsOfUnknownWorkers = new Map<string, Map<string, Allocation>>();
	#capacity: ClusterCapacity = computeCapacity([]);
	#computedCapacityVersion = 0;
	/** Incremented when the set of workers, their capacity or their usability changes. */
	#capacityVersion = 0;

	/**
	 * Adds a worker or updates its facts.
	 *
	 * @param facts - What the agent announced.
	 */
	upsert(facts: WorkerFacts): void {
		const worker = this.workers.get(facts.workerId);
		if (worker) {
			const hasChanged = JSON.stringify(worker.facts) !== JSON.stringify(facts);
			worker.update(facts);
			this.factsVersion += Number(hasChanged);
			this.packingVersion += Number(hasChanged);
			this.#capacityVersion += Number(hasChanged);
			return;
		}

		const added = new WorkerState(facts);
		for (const [key, allocation] of this.#allocationsOfUnknownWorkers.get(facts.workerId) ?? []) {
			added.addAllocation(key, allocation);
		}

		this.#allocationsOfUnknownWorkers.delete(facts.workerId);
		this.workers.set(facts.workerId, added);
		this.factsVersion++;
		this.packingVersion++;
		this.#capacityVersion++;
	}

	/**
	 * Removes a worker. Its allocations are kept until their jobs end, in case it returns.
	 *
	 * @param workerId - The worker.
	 */
	remove(workerId: string): void {
		const worker = this.workers.get(workerId);
		if (worker && worker.allocations.size > 0) {
			this.#allocationsOfUnknownWorkers.set(workerId, new Map(worker.allocations));
		}

		this.workers.delete(workerId);
		this.factsVersion++;
		this.packingVersion++;
		this.#capacityVersion++;
	}

	/**
	 * Allocates resources for the tasks of a job.
	 *
	 * @param entry - The job.
	 * @param tasks - Where its tasks are placed.
	 * @param nowMs - The time of the allocation.
	 * @param keySuffix - Distinguishes the allocations of a duplicate from those of the first attempt.
	 */
	allocate(entry: JobEntry, tasks: readonly PlacedTask[], nowMs: number, keySuffix = ''): void {
		for (const task of tasks) {
			const allocation: Allocation = {
				jobId: entry.job.jobId,
				taskIndex: task.taskIndex,
				account: entry.spec.account,
				isPinned: !entry.spec.repeatable,
				isWithinGuarantee: entry.isWithinGuarantee,
				accelerators: task.accelerators,
				requested: entry.spec.shape,
				allocatedAtMs: nowMs,
				chargedAmounts: scalarAmountsOf(entry.spec.shape),
			};
			this.#addAllocation(task.workerId, allocationKey(entry.job.jobId, task.taskIndex, keySuffix), allocation);
		}

		this.packingVersion += Number(!entry.spec.repeatable);
	}

	/**
	 * Releases all allocations of a job.
	 *
	 * @param entry - The job.
	 */
	release(entry: JobEntry): void {
		for (const task of entry.tasks) {
			this.#removeAllocation(task.workerId, allocationKey(entry.job.jobId, task.taskIndex, ''));
		}

		for (const task of entry.duplicates) {
			this.#removeAllocation(task.workerId, allocationKey(entry.job.jobId, task.taskIndex, DUPLICATE_KEY_SUFFIX));
		}

		this.packingVersion += Number(!entry.spec.repeatable);
	}

	/**
	 * Adjusts the charged amounts of a task to measured usage.
	 *
	 * @param entry - The job.
	 * @param usage - The report.
	 */
	applyUsageReport(entry: JobEntry, usage: UsageReport): void {
		const task = entry.tasks.find(placed => placed.taskIndex === usage.taskIndex);
		if (task) {
			this.workers.get(task.workerId)?.applyUsageReport(allocationKey(usage.jobId, usage.taskIndex, ''), usage);
			this.packingVersion += Number(!entry.spec.repeatable);
		}
	}

	/**
	 * Lists the free capacity that a placement may use.
	 *
	 * @param spec - The job.
	 * @param isEligible - Whether a worker may be used.
	 * @param isKept - Which allocations stay; by default, all.
	 * @returns One view per eligible worker that has an endpoint for the job.
	 */
	placementViews(spec: JobSpec, isEligible: (worker: WorkerState) => boolean, isKept?: (allocation: Allocation) => boolean): PlacementView[] {
		const views: PlacementView[] = [];
		for (const worker of this.workers.values()) {
			const endpointId = worker.endpointFor(spec.service);
			if (endpointId === undefined || !isEligible(worker)) {
				continue;
			}

			const {workerId, rack} = worker.facts;
			views.push({workerId, rack, endpointId, ...isKept ? freeCapacityKeeping(worker, isKept) : {freeAccelerators: worker.freeAccelerators, freeAmounts: worker.freeAmounts}});
		}

		return views;
	}

	/**
	 * Describes the usable workers for packing guarantees.
	 *
	 * @param isPinned - Which allocations the packing has to work around.
	 * @returns The workers with their pinned allocations.
	 */
	packingWorkers(isPinned: (allocation: Allocation) => boolean): readonly PackingWorker[] {
		return [...this.workers.values()].filter(worker => worker.isUsable).map(worker => ({
			workerId: worker.workerId,
			rack: worker.facts.rack,
			accelerators: worker.facts.capacity.accelerators,
			capacity: scalarAmountsOf(worker.facts.capacity),
			pinned: [...worker.allocations.values()].filter(allocation => isPinned(allocation)),
		}));
	}

	/**
	 * Lists the services that accept new work.
	 *
	 * @returns Services with an endpoint on a usable worker that is not leaving, sorted.
	 */
	availableServices(): readonly string[] {
		const endpoints = [...this.workers.values()].filter(worker => worker.isUsable).flatMap(worker => worker.facts.endpoints);
		return [...new Set(endpoints.filter(endpoint => !endpoint.leaving).map(endpoint => endpoint.service))].toSorted();
	}

	/**
	 * Sets whether a worker may receive new work.
	 *
	 * @param workerId - The worker.
	 * @param isUsable - Whether it may receive new work.
	 */
	setUsable(workerId: string, isUsable: boolean): void {
		const worker = this.workers.get(workerId);
		if (worker && worker.isUsable !== isUsable) {
			worker.isUsable = isUsable;
			this.packingVersion++;
			this.#capacityVersion++;
		}
	}

	/** Total capacity of the workers, whether allocated or not. */
	capacity(): ClusterCapacity {
		if (this.#computedCapacityVersion !== this.#capacityVersion) {
			this.#capacity = computeCapacity([...this.workers.values()]);
			this.#computedCapacityVersion = this.#capacityVersion;
		}

		return this.#capacity;
	}

	/** Unallocated accelerators of usable workers. */
	idleAccelerators(): {readonly accelerators: number; readonly largestBlock: number} {
		let accelerators = 0;
		let largestBlock = 0;
		for (const worker of this.workers.values()) {
			if (worker.isUsable) {
				accelerators += worker.freeAccelerators.filter(Boolean).length;
				largestBlock = Math.max(largestBlock, largestFreeBlockSize(worker.freeAccelerators));
			}
		}

		return {accelerators, largestBlock};
	}

	#addAllocation(workerId: string, key: string, allocation: Allocation): void {
		const worker = this.workers.get(workerId);
		if (worker) {
			worker.addAllocation(key, allocation);
			return;
		}

		const allocations = this.#allocationsOfUnknownWorkers.get(workerId) ?? new Map<string, Allocation>();
		allocations.set(key, allocation);
		this.#allocationsOfUnknownWorkers.set(workerId, allocations);
	}

	#removeAllocation(workerId: string, key: string): void {
		this.workers.get(workerId)?.removeAllocation(key);
		const allocations = this.#allocationsOfUnknownWorkers.get(workerId);
		allocations?.delete(key);
		if (allocations?.size === 0) {
			this.#allocationsOfUnknownWorkers.delete(workerId);
		}
	}
}

function computeCapacity(workers: readonly WorkerState[]): ClusterCapacity {
	const amountsPerAcceleratorByWorker = workers
		.filter(worker => worker.facts.capacity.accelerators > 0)
		.map(({facts}) => scalarAmountsOf(facts.capacity).map(amount => amount / facts.capacity.accelerators));
	let accelerators = 0;
	let slots = 0;
	for (const worker of workers) {
		if (worker.isUsable) {
			accelerators += worker.facts.capacity.accelerators;
			slots += worker.facts.capacity.slots;
		}
	}

	return {
		accelerators,
		slots,
		maxWorkerAccelerators: Math.max(0, ...workers.map(worker => worker.facts.capacity.accelerators)),
		amountsPerAccelerator: SCALAR_RESOURCE_NAMES.map((_, index) => amountsPerAcceleratorByWorker.length === 0 ? 0 : Math.min(...amountsPerAcceleratorByWorker.map(amounts => amounts[index]!))),
	};
}

/** Key suffix of the allocations of a duplicate. */
export const DUPLICATE_KEY_SUFFIX = '+';

function allocationKey(jobId: string, taskIndex: number, suffix: string): string {
	return `${jobId}/${taskIndex}${suffix}`;
}

function freeCapacityKeeping(worker: WorkerState, isKept: (allocation: Allocation) => boolean): {freeAccelerators: readonly boolean[]; freeAmounts: ScalarAmounts} {
	const freeAccelerators = Array.from({length: worker.facts.capacity.accelerators}, () => true);
	const freeAmounts = scalarAmountsOf(worker.facts.capacity);
	for (const allocation of worker.allocations.values()) {
		if (!isKept(allocation)) {
			continue;
		}

		addScaled(freeAmounts, allocation.chargedAmounts, -1);
		for (const number of allocation.accelerators) {
			freeAccelerators[number] = false;
		}
	}

	return {freeAccelerators, freeAmounts};
}
