import type {JobSpec} from '@amaranthsail/core';
import type {SchedulerLoad} from '@amaranthsail/scheduler';
import type {Catalog} from './catalog.js';
import {fittingFailureDomains} from './job-spec.js';

/** Load of a failure domain, from the last renewal of its owner. */
export type DomainLoad = SchedulerLoad & {readonly failureDomain: string};

/** Jobs that may wait in one failure domain for each accelerator, beyond which new ones are refused. */
const MAX_WAITING_PER_ACCELERATOR = 100;

/** Why no failure domain takes a job at the moment. */
export type LoadRefusal = 'account_limit' | 'overloaded';

/** Chooses the failure domain that runs a job. */
export class Router {
	readonly #loads: () => readonly DomainLoad[];

	/**
	 * @param loads - Reads the loads of the failure domains that have an owner.
	 */
	constructor(loads: () => readonly DomainLoad[]) {
		this.#loads = loads;
	}

	/**
	 * Orders the failure domains that can hold a job, the best first: those with an owner, then those where
	 * the service runs, then those where the job can start at once, then by waiting jobs for each accelerator.
	 *
	 * @param spec - The job's specification.
	 * @param catalog - The configuration in force.
	 * @returns The names of the failure domains; empty when the job fits none.
	 */
	rank(spec: JobSpec, catalog: Catalog): readonly string[] {
		const loads = new Map(this.#loads().map(load => [load.failureDomain, load]));
		const needed = spec.taskCount * spec.shape.accelerators;
		const scored = fittingFailureDomains(spec, catalog).map(name => {
			const load = loads.get(name);
			// A failure domain without a live owner still finds the job in the index, only later.
			const ownerless = load ? 0 : 1;
			const serviceless = load?.services.includes(spec.service) ? 0 : 1;
			const startsAtOnce = load?.waitingJobs === 0 && load.idleAccelerators >= needed && load.largestFreeBlock >= spec.shape.accelerators;
			const guaranteed = catalog.guaranteedAccelerators(spec.account, name) >= needed && needed > 0;
			const queue = load ? (load.waitingJobs + 1) / Math.max(1, load.totalAccelerators) : 0;
			return {name, rank: [ownerless, serviceless, startsAtOnce ? 0 : 1, guaranteed ? 0 : 1, queue] as const};
		});
		scored.sort((left, right) => {
			const index = left.rank.findIndex((value, position) => value !== right.rank[position]);
			return index === -1 ? 0 : left.rank[index]! - right.rank[index]!;
		});
		return scored.map(({name}) => name);
	}

	/**
	 * Tells whether a failure domain is too loaded for one more job of an account. Judged before acceptance,
	 * since an accepted job is not refused any more.
	 *
	 * @param account - The client account.
	 * @param failureDomain - The failure domain.
	 * @param catalog - The configuration in force.
	 * @returns The reason to refuse, or undefined.
	 */
	loadRefusal(account: string, failureDomain: string, catalog: Catalog): LoadRefusal | undefined {
		const load = this.#loads().find(candidate => candidate.failureDomain === failureDomain);
		if (!load) {
			return undefined;
		}

		if ((load.waitingByAccount[account] ?? 0) >= catalog.policyOf(failureDomain).maxWaitingPerAccount) {
			return 'account_limit';
		}

		return load.waitingJobs >= MAX_WAITING_PER_ACCELERATOR * Math.max(1, load.totalAccelerators) ? 'overloaded' : undefined;
	}

	/**
	 * Tells whether a job can run where it is, with the workers that are there now.
	 *
	 * @param spec - The job's specification.
	 * @param failureDomain - The failure domain.
	 * @returns False when its service does not run there or too few accelerators are left; true when nothing is known.
	 */
	canRunNow(spec: JobSpec, failureDomain: string): boolean {
		const load = this.#loads().find(candidate => candidate.failureDomain === failureDomain);
		return !load || (load.services.includes(spec.service) && load.totalAccelerators >= spec.taskCount * spec.shape.accelerators);
	}

	/**
	 * Finds another failure domain that can run a job.
	 *
	 * @param spec - The job's specification.
	 * @param failureDomain - Where the job is.
	 * @param catalog - The configuration in force.
	 * @returns The best other one that has an owner and runs the service, or undefined.
	 */
	alternativeTo(spec: JobSpec, failureDomain: string, catalog: Catalog): string | undefined {
		const owned = new Set(this.#loads().map(load => load.failureDomain));
		return this.rank(spec, catalog).find(name => name !== failureDomain && owned.has(name) && this.canRunNow(spec, name));
	}
}
