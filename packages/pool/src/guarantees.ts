import {RUN_PHASES} from './job-model.js';
import type {PoolContext} from './pool-context.js';

/** Highest priority; it may preempt others, and guarantees cover it. */
export const URGENT_PRIORITY = 0;

/** Accelerators that client accounts are guaranteed, and those that their urgent work uses. */
export class Guarantees {
	readonly #context: PoolContext;
	readonly #acceleratorsInUse = new Map<string, number>();

	/** @param context - State of the pool; the use is counted at construction. */
	constructor(context: PoolContext) {
		this.#context = context;
		for (const worker of context.workers.values()) {
			for (const run of worker.runs.values()) {
				const {job, spec} = run.task.step;
				if (run.phase !== RUN_PHASES.stopping && context.queueOf(job)?.priority === URGENT_PRIORITY) {
					this.#acceleratorsInUse.set(job.account, this.inUseBy(job.account) + spec.shape.accelerators);
				}
			}
		}
	}

	/** @returns Accelerators that the account's urgent work uses. */
	inUseBy(account: string): number {
		return this.#acceleratorsInUse.get(account) ?? 0;
	}

	/** @returns Accelerators that the account is guaranteed. */
	guaranteeOf(account: string): number {
		return this.#context.config?.accounts.find(candidate => candidate.name === account)?.guaranteedAccelerators ?? 0;
	}

	/**
	 * Lists accounts whose urgent work uses more than their guarantee.
	 *
	 * @param except - The account to leave out.
	 * @returns The accelerators beyond the guarantee, by account.
	 */
	excessOfOtherAccounts(except: string): Map<string, number> {
		const excess = new Map<string, number>();
		for (const [account, inUse] of this.#acceleratorsInUse) {
			if (account !== except && inUse > this.guaranteeOf(account)) {
				excess.set(account, inUse - this.guaranteeOf(account));
			}
		}

		return excess;
	}
}
