import {type JobEntry, totalAccelerators} from './job-entry.js';
import type {ClusterCapacity} from './cluster-state.js';

type AccountUse = {
	accelerators: number;
	slots: number;
	/** Sum of accelerators times start, to add up running work at any time. */
	acceleratorStartMs: number;
	attainedAcceleratorMs: number;
	waitingJobs: number;
};

/** What each account uses and has had. */
export class AccountLedger {
	readonly #accounts = new Map<string, AccountUse>();

	/**
	 * Gives the use of an account.
	 *
	 * @param account - The account.
	 * @returns Its use, which callers do not change.
	 */
	use(account: string): Readonly<AccountUse> {
		return this.#of(account);
	}

	/**
	 * Counts a job in or out of its account's queue.
	 *
	 * @param account - The account.
	 * @param change - 1 or -1.
	 */
	countWaiting(account: string, change: 1 | -1): void {
		this.#of(account).waitingJobs += change;
	}

	/**
	 * Counts a placed job.
	 *
	 * @param entry - The job.
	 */
	place(entry: JobEntry): void {
		this.#count(entry, 1);
	}

	/**
	 * Counts a job whose placement has ended.
	 *
	 * @param entry - The job.
	 * @param nowMs - The time of its end.
	 */
	end(entry: JobEntry, nowMs: number): void {
		this.#count(entry, -1);
		this.#of(entry.spec.account).attainedAcceleratorMs += totalAccelerators(entry.spec) * (nowMs - entry.placedAtMs);
	}

	/**
	 * Adds up the accelerator time of an account.
	 *
	 * @param account - The account.
	 * @param nowMs - The present time.
	 * @returns Accelerator-milliseconds of ended and running work.
	 */
	attained(account: string, nowMs: number): number {
		const use = this.#of(account);
		return use.attainedAcceleratorMs + (use.accelerators * nowMs) - use.acceleratorStartMs;
	}

	/**
	 * Computes the largest of the account's shares of the cluster.
	 *
	 * @param account - The account.
	 * @param capacity - The cluster.
	 * @returns A share from 0 to 1.
	 */
	dominantShare(account: string, capacity: ClusterCapacity): number {
		const use = this.#of(account);
		return Math.max(use.accelerators / Math.max(1, capacity.accelerators), use.slots / Math.max(1, capacity.slots));
	}

	#count(entry: JobEntry, sign: 1 | -1): void {
		const use = this.#of(entry.spec.account);
		const accelerators = totalAccelerators(entry.spec);
		use.accelerators += sign * accelerators;
		use.slots += sign * entry.spec.shape.slots * entry.spec.taskCount;
		use.acceleratorStartMs += sign * accelerators * entry.placedAtMs;
	}

	#of(account: string): AccountUse {
		let use = this.#accounts.get(account);
		if (!use) {
			use = {
				accelerators: 0, slots: 0, acceleratorStartMs: 0, attainedAcceleratorMs: 0, waitingJobs: 0,
			};
			this.#accounts.set(account, use);
		}

		return use;
	}
}
