import type {Resources, UsageReport, WorkerFacts} from '@amaranthsail/core';
import {addScaled, scalarAmountsOf, type ScalarAmounts} from './scalar-resources.js';

/** The resources of a worker that are allocated to one task. */
export type Allocation = {
	readonly jobId: string;
	readonly taskIndex: number;
	readonly account: string;
	/** Whether the task must not be preempted. */
	readonly isPinned: boolean;
	/** Whether the job counts against its account's guarantee. */
	readonly isWithinGuarantee: boolean;
	readonly accelerators: readonly number[];
	readonly requested: Resources;
	readonly allocatedAtMs: number;
	/** What the task counts for: the requested amounts, adjusted by later usage reports. */
	chargedAmounts: ScalarAmounts;
};

/** Multiple of the measured usage that stays charged, because usage varies between two reports. */
const USAGE_HEADROOM_FACTOR = 1.25;

/** Share of the requested amounts that stays charged at any usage, because a task may grow to its declared size. */
const MIN_CHARGED_SHARE = 0.5;

/** One worker and its allocations. */
export class WorkerState {
	facts: WorkerFacts;
	isUsable = true;
	readonly allocations = new Map<string, Allocation>();
	/** For each accelerator, the number of allocations on it; 2 while a reclaim or migration waits for its victim to stop. */
	#allocationCounts: number[];
	#freeAmounts: readonly number[];
	#freeAccelerators: boolean[];

	/**
	 * @param facts - What the agent announced.
	 */
	constructor(facts: WorkerFacts) {
		this.facts = facts;
		this.#allocationCounts = Array.from({length: facts.capacity.accelerators}, () => 0);
		this.#freeAccelerators = this.#allocationCounts.map(() => true);
		this.#freeAmounts = scalarAmountsOf(facts.capacity);
	}

	get workerId(): string {
		return this.facts.workerId;
	}

	/** For each accelerator, whether it has no allocation. Callers must not change the array. */
	get freeAccelerators(): readonly boolean[] {
		return this.#freeAccelerators;
	}

	/** Unallocated amounts; negative while a reclaim or migration waits for its victim to stop. Callers must not change the array. */
	get freeAmounts(): readonly number[] {
		return this.#freeAmounts;
	}

	/**
	 * Updates the facts and keeps the allocations.
	 *
	 * @param facts - What the agent announced.
	 */
	update(facts: WorkerFacts): void {
		this.facts = facts;
		this.#recompute();
	}

	/**
	 * Selects an endpoint for a task.
	 *
	 * @param service - The service of the job.
	 * @returns The id of an endpoint that is not leaving, or undefined.
	 */
	endpointFor(service: string): string | undefined {
		return this.facts.endpoints.find(endpoint => endpoint.service === service && !endpoint.leaving)?.endpointId;
	}

	/**
	 * Adds an allocation.
	 *
	 * @param key - The allocation's key.
	 * @param allocation - The allocation.
	 */
	addAllocation(key: string, allocation: Allocation): void {
		this.allocations.set(key, allocation);
		this.#recompute();
	}

	/**
	 * Removes an allocation.
	 *
	 * @param key - The allocation's key; an unknown key has no effect.
	 */
	removeAllocation(key: string): void {
		if (this.allocations.delete(key)) {
			this.#recompute();
		}
	}

	/**
	 * Adjusts the charged amounts of an allocation to measured usage.
	 *
	 * @param key - The allocation's key.
	 * @param usage - The report; ignored if it was measured before the allocation.
	 */
	applyUsageReport(key: string, usage: UsageReport): void {
		const allocation = this.allocations.get(key);
		if (!allocation || usage.measuredAtMs <= allocation.allocatedAtMs) {
			return;
		}

		const requested = scalarAmountsOf(allocation.requested);
		const measured = scalarAmountsOf(usage.used);
		// A slot is held whole, so only the other amounts follow the report.
		allocation.chargedAmounts = requested.map((amount, index) => index === 0
			? amount
			: Math.max(measured[index]!, Math.min(amount, Math.max(measured[index]! * USAGE_HEADROOM_FACTOR, amount * MIN_CHARGED_SHARE))));
		this.#recompute();
	}

	#recompute(): void {
		const allocationCounts = Array.from({length: this.facts.capacity.accelerators}, () => 0);
		const charged: ScalarAmounts = [0, 0, 0, 0];
		for (const allocation of this.allocations.values()) {
			addScaled(charged, allocation.chargedAmounts);
			for (const number of allocation.accelerators) {
				allocationCounts[number] = (allocationCounts[number] ?? 0) + 1;
			}
		}

		this.#allocationCounts = allocationCounts;
		const freeAmounts = scalarAmountsOf(this.facts.capacity);
		addScaled(freeAmounts, charged, -1);
		this.#freeAmounts = freeAmounts;
		this.#freeAccelerators = allocationCounts.map(count => count === 0);
	}
}
