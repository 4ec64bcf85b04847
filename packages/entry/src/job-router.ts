import type {JobSpec} from '@amaranthsail/core';
import type {SchedulerLoad} from '@amaranthsail/scheduler';
import type {Catalog} from './catalog.js';
import {fittingFailureDomains} from './job-spec.js';

/** Load of a failure domain, as its owner last reported it with a renewal. */
export type FailureDomainLoad = SchedulerLoad & {readonly failureDomain: string};

/** Number of waiting jobs per accelerator of a failure domain from which new jobs are refused. */
const MAX_WAITING_PER_ACCELERATOR = 100;

/** Why a failure domain currently accepts no more jobs of an account. */
export type LoadRefusal = 'account_limit' | 'overloaded';

/** Chooses the failure domain that runs a job. */
export class JobRouter {
	readonly #loads: () => readonly FailureDomainLoad[];

	/**
	 * @param loads - Returns the loads of the failure domains that have an owner.
	 */
	constructor(loads: () => readonly FailureDomainLoad[]) {
		this.#loads = loads;
	}

	/**
	 * Ranks the failure domains that have the capacity for a job, best first. Preferred are, in this order, those with an
	 * owner, those where the service runs, those where the job can start at once, those with a guarantee of the account
	 * that covers the job, and those with fewer waiting jobs per accelerator.
	 *
	 * @param spec - The job's specification.
	 * @param catalog - The configuration in force.
	 * @returns The names of the failure domains; empty when the job fits into none.
	 */
	rankFailureDomains(spec: JobSpec, catalog: Catalog): readonly string[] {
		const loads = new Map(this.#loads().map(load => [load.failureDomain, load]));
		const neededAccelerators = spec.taskCount * spec.shape.accelerators;
		const candidates = fittingFailureDomains(spec, catalog).map(name => {
			const load = loads.get(name);
			// Without an owner the job is not lost: the next owner finds it in the index of open jobs.
			const ownerPenalty = load ? 0 : 1;
			const servicePenalty = load?.services.includes(spec.service) ? 0 : 1;
			const canStartNow = load?.waitingJobs === 0 && load.idleAccelerators >= neededAccelerators && load.largestFreeBlock >= spec.shape.accelerators;
			const isGuaranteed = catalog.guaranteedAccelerators(spec.account, name) >= neededAccelerators && neededAccelerators > 0;
			const waitingPerAccelerator = load ? (load.waitingJobs + 1) / Math.max(1, load.totalAccelerators) : 0;
			return {name, sortKey: [ownerPenalty, servicePenalty, canStartNow ? 0 : 1, isGuaranteed ? 0 : 1, waitingPerAccelerator] as const};
		});
		candidates.sort((left, right) => {
			const index = left.sortKey.findIndex((value, position) => value !== right.sortKey[position]);
			return index === -1 ? 0 : left.sortKey[index]! - right.sortKey[index]!;
		});
		return candidates.map(({name}) => name);
	}

	/**
	 * Checks whether a failure domain is too loaded for one more job of an account. This is checked before acceptance,
	 * because an accepted job can no longer be refused.
	 *
	 * @param account - The client account.
	 * @param failureDomain - The failure domain.
	 * @param catalog - The configuration in force.
	 * @returns The reason for a refusal, or undefined when the job is admitted.
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
	 * Checks whether a job can run in a failure domain with its current workers.
	 *
	 * @param spec - The job's specification.
	 * @param failureDomain - The failure domain.
	 * @returns False when its service does not run there or there are too few accelerators; true when no load is known.
	 */
	canRunNow(spec: JobSpec, failureDomain: string): boolean {
		const load = this.#loads().find(candidate => candidate.failureDomain === failureDomain);
		return !load || (load.services.includes(spec.service) && load.totalAccelerators >= spec.taskCount * spec.shape.accelerators);
	}

	/**
	 * Finds another failure domain that can run a job.
	 *
	 * @param spec - The job's specification.
	 * @param failureDomain - The current failure domain of the job.
	 * @param catalog - The configuration in force.
	 * @returns The best other failure domain that has an owner and can run the job, or undefined.
	 */
	findAlternative(spec: JobSpec, failureDomain: string, catalog: Catalog): string | undefined {
		const ownedDomains = new Set(this.#loads().map(load => load.failureDomain));
		return this.rankFailureDomains(spec, catalog).find(name => name !== failureDomain && ownedDomains.has(name) && this.canRunNow(spec, name));
	}
}
