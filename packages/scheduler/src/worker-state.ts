import type {Resources, UsageReport, WorkerFacts} from '@amaranthsail/core';
import {addTo, limitsOf, type Limits} from './scalar-resources.js';

/** What a worker has given to one task. */
export type Grant = {
	readonly jobId: string;
	readonly taskIndex: number;
	readonly account: string;
	/** Whether the task cannot be stopped. */
	readonly fixed: boolean;
	/** Whether the job lies inside its account's guarantee. */
	readonly inside: boolean;
	readonly accelerators: readonly number[];
	readonly granted: Resources;
	readonly grantedAtMs: number;
	/** What the task counts for: the grant, corrected by later reports. */
	charge: Limits;
};

/** Room kept above measured use, because use varies between two reports. */
const USE_HEADROOM = 1.25;

/** Part of a grant that stays charged however little is used, because a task may grow to its declared size. */
const MINIMUM_CHARGE = 0.5;

/** One worker with everything it has granted. */
export class WorkerState {
	facts: WorkerFacts;
	usable = true;
	readonly grants = new Map<string, Grant>();
	/** For each accelerator, the number of grants on it; 2 while a reclaim waits for its victim. */
	#holders: number[];
	#room: readonly number[];
	#free: boolean[];

	/**
	 * @param facts - What the agent announced.
	 */
	constructor(facts: WorkerFacts) {
		this.facts = facts;
		this.#holders = Array.from({length: facts.capacity.accelerators}, () => 0);
		this.#free = this.#holders.map(() => true);
		this.#room = limitsOf(facts.capacity);
	}

	get workerId(): string {
		return this.facts.workerId;
	}

	/** For each accelerator, whether no grant holds it. Not to be changed by callers. */
	get free(): readonly boolean[] {
		return this.#free;
	}

	/** Amounts that no grant holds; negative while a reclaim waits for its victim. Not to be changed by callers. */
	get room(): readonly number[] {
		return this.#room;
	}

	/**
	 * Takes over new facts; grants stay.
	 *
	 * @param facts - What the agent announced.
	 */
	update(facts: WorkerFacts): void {
		this.facts = facts;
		this.#recount();
	}

	/**
	 * Names the endpoint for a task.
	 *
	 * @param service - The service of the job.
	 * @returns An endpoint that is not leaving, or undefined.
	 */
	endpointFor(service: string): string | undefined {
		return this.facts.endpoints.find(endpoint => endpoint.service === service && !endpoint.leaving)?.endpointId;
	}

	/**
	 * Books a grant.
	 *
	 * @param key - The grant's key.
	 * @param grant - What is given.
	 */
	add(key: string, grant: Grant): void {
		this.grants.set(key, grant);
		this.#recount();
	}

	/**
	 * Gives a grant back.
	 *
	 * @param key - The grant's key; an unknown one changes nothing.
	 */
	remove(key: string): void {
		if (this.grants.delete(key)) {
			this.#recount();
		}
	}

	/**
	 * Corrects the charge of a grant by measured use.
	 *
	 * @param key - The grant's key.
	 * @param usage - The report; ignored when it was measured before the grant.
	 */
	correct(key: string, usage: UsageReport): void {
		const grant = this.grants.get(key);
		if (!grant || usage.measuredAtMs <= grant.grantedAtMs) {
			return;
		}

		const granted = limitsOf(grant.granted);
		const used = limitsOf(usage.used);
		// A slot is held as a whole, so only the other amounts follow the report.
		grant.charge = granted.map((amount, index) => index === 0
			? amount
			: Math.max(used[index]!, Math.min(amount, Math.max(used[index]! * USE_HEADROOM, amount * MINIMUM_CHARGE))));
		this.#recount();
	}

	#recount(): void {
		const holders = Array.from({length: this.facts.capacity.accelerators}, () => 0);
		const used: Limits = [0, 0, 0, 0];
		for (const grant of this.grants.values()) {
			addTo(used, grant.charge);
			for (const number of grant.accelerators) {
				holders[number] = (holders[number] ?? 0) + 1;
			}
		}

		this.#holders = holders;
		const room = limitsOf(this.facts.capacity);
		addTo(room, used, -1);
		this.#room = room;
		this.#free = holders.map(count => count === 0);
	}
}
