import {type JobEntry, totalAccelerators} from './job-entry.js';
import type {ClusterCapacity} from './cluster-state.js';

type AccountUsage = {
	accelerators: number;
	slots: number;
	/** Sum over running jobs of accelerators times placement time; gives the running accelerator time at any moment. */
	weightedStartMs: number;
	attainedAcceleratorMs: number;
	waitingJobs: number;
};

/** Current and past resource usage of each account. */
export class AccountLedger {
	readonly #accounts = new Map<string, AccountUsage>();

	/**
	 * Gets the usage of an account.
	 *
	 * @param account - The account.
	 * @returns Its usage, which callers must not change.
	 */
	usage(account: string): Readonly<AccountUsage> {
		return this.#usageOf(account);
	}

	/**
	 * Adjusts the number of waiting jobs of an account.
	 *
	 * @param account - The account.
	 * @param change - 1 or -1.
	 */
	adjustWaiting(account: string, change: 1 | -1): void {
		this.#usageOf(account).waitingJobs += change;
	}

	/**
	 * Records a placed job.
	 *
	 * @param entry - The job.
	 */
	recordPlacement(entry: JobEntry): void {
		this.#applyPlacement(entry, 1);
	}

	/**
	 * Records the end of a placement.
	 *
	 * @param entry - The job.
	 * @param nowMs - The time of its end.
	 */
	recordEnd(entry: JobEntry, nowMs: number): void {
		this.#applyPlacement(entry, -1);
		this.#usageOf(entry.spec.account).attainedAcceleratorMs += totalAccelerators(entry.spec) * (nowMs - entry.placedAtMs);
	}

	/**
	 * Sums the accelerator time of an account.
	 *
	 * @param account - The account.
	 * @param nowMs - The current time.
	 * @returns Accelerator-milliseconds of ended and running work.
	 */
	attainedAcceleratorMs(account: string, nowMs: number): number {
		const usage = this.#usageOf(account);
		return usage.attainedAcceleratorMs + (usage.accelerators * nowMs) - usage.weightedStartMs;
	}

	/**
	 * Computes the dominant share of an account: the larger of its shares of accelerators and slots.
	 *
	 * @param account - The account.
	 * @param capacity - The capacity of the cluster.
	 * @returns A share from 0 to 1.
	 */
	dominantShare(account: string, capacity: ClusterCapacity): number {
		const usage = this.#usageOf(account);
		return Math.max(usage.accelerators / Math.max(1, capacity.accelerators), usage.slots / Math.max(1, capacity.slots));
	}

	#applyPlacement(entry: JobEntry, sign: 1 | -1): void {
		const usage = this.#usageOf(entry.spec.account);
		const accelerators = totalAccelerators(entry.spec);
		usage.accelerators += sign * accelerators;
		usage.slots += sign * entry.spec.shape.slots * entry.spec.taskCount;
		usage.weightedStartMs += sign * accelerators * entry.placedAtMs;
	}

	#usageOf(account: string): AccountUsage {
		let usage = this.#accounts.get(account);
		if (!usage) {
			usage = {
				accelerators: 0, slots: 0, weightedStartMs: 0, attainedAcceleratorMs: 0, waitingJobs: 0,
			};
			this.#accounts.set(account, usage);
		}

		return usage;
	}
}
