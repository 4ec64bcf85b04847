import {findFreeBlocks, enclosingFreeBlockSize} from './accelerator-blocks.js';
import type {GuaranteeShape} from './guarantee-shape.js';
import {addScaled, fitsWithin, type ScalarAmounts} from './scalar-resources.js';

/** An allocation that packing has to work around, for example because its job must not be preempted. */
export type PinnedAllocation = {
	readonly account: string;
	readonly accelerators: readonly number[];
	readonly chargedAmounts: readonly number[];
};

/** A worker for packing guarantees: its capacity and its pinned allocations. */
export type PackingWorker = {
	readonly workerId: string;
	readonly rack: string;
	readonly accelerators: number;
	readonly capacity: readonly number[];
	readonly pinned: readonly PinnedAllocation[];
};

/** A block of one worker that is reserved for a shape. */
export type ShapeBlock = {readonly workerId: string; readonly start: number};

/** A worker with its blocks reserved so far. */
type WorkerSpace = {
	readonly worker: PackingWorker;
	/** For each accelerator, the account whose pinned allocation is on it. */
	readonly pinnedAccounts: Array<string | undefined>;
	/** For each accelerator, whether it is reserved for a shape. */
	readonly reserved: boolean[];
	reservedCount: number;
	/** Number of reserved accelerators by account. */
	readonly reservedByAccount: Map<string, number>;
	readonly pinnedAmounts: Map<string, ScalarAmounts>;
	readonly committedAmounts: ScalarAmounts;
};

/** A block that could hold a shape. The lowest cost is chosen. */
type BlockCandidate = {readonly space: WorkerSpace; readonly start: number; readonly cost: number};

/** Cost reduction per accelerator of the account's own pinned work in a block; outweighs any difference in block size. */
const OWN_WORK_COST_REDUCTION = 1000;

function toWorkerSpace(worker: PackingWorker): WorkerSpace {
	const pinnedAccounts: Array<string | undefined> = Array.from({length: worker.accelerators}, () => undefined);
	const pinnedAmounts = new Map<string, ScalarAmounts>();
	const committedAmounts: ScalarAmounts = [0, 0, 0, 0];
	for (const allocation of worker.pinned) {
		for (const number of allocation.accelerators) {
			pinnedAccounts[number] = allocation.account;
		}

		const amounts = pinnedAmounts.get(allocation.account) ?? [0, 0, 0, 0];
		addScaled(amounts, allocation.chargedAmounts);
		pinnedAmounts.set(allocation.account, amounts);
		addScaled(committedAmounts, allocation.chargedAmounts);
	}

	return {
		worker, pinnedAccounts, reserved: pinnedAccounts.map(() => false), reservedCount: 0, reservedByAccount: new Map(), pinnedAmounts, committedAmounts,
	};
}

/** Amounts committed to an account on a worker: its share by accelerators, or its pinned work where that is more. */
function commitmentOf(space: WorkerSpace, account: string, accelerators: number): ScalarAmounts {
	const pinned = space.pinnedAmounts.get(account);
	return space.worker.capacity.map((amount, index) => Math.max(amount * accelerators / space.worker.accelerators, pinned?.[index] ?? 0));
}

/** Change of the committed amounts when an account's reserved accelerators on a worker change. */
function commitmentChange(space: WorkerSpace, account: string, change: number): ScalarAmounts {
	const currentCount = space.reservedByAccount.get(account) ?? 0;
	const after = commitmentOf(space, account, currentCount + change);
	addScaled(after, commitmentOf(space, account, currentCount), -1);
	return after;
}

/**
 * Reserves blocks for guarantees. A shape may cover pinned work of its own account, never of another account,
 * and takes scalar amounts in proportion to its accelerators.
 */
export class PackingState {
	readonly #spaces: ReadonlyMap<string, WorkerSpace>;
	readonly #accountsWithPinnedWork: ReadonlySet<string>;

	/**
	 * @param workers - The workers with their pinned allocations.
	 */
	constructor(workers: readonly PackingWorker[]) {
		this.#spaces = new Map(workers.map(worker => [worker.workerId, toWorkerSpace(worker)]));
		this.#accountsWithPinnedWork = new Set(workers.flatMap(worker => worker.pinned.map(allocation => allocation.account)));
	}

	/**
	 * Finds and reserves blocks for a shape.
	 *
	 * @param shape - The shape.
	 * @param lostRack - A rack whose workers are not available.
	 * @param choice - `best` preserves large blocks and covers the account's own work; `any` takes the first worker that fits, which is faster.
	 * @returns The blocks, or undefined if none fit.
	 */
	place(shape: GuaranteeShape, lostRack?: string, choice: 'best' | 'any' = 'best'): readonly ShapeBlock[] | undefined {
		if (shape.isImpossible) {
			return undefined;
		}

		const blocks = shape.blockCount === 1 ? this.#findBlock(shape, lostRack, choice) : this.#findWholeWorkers(shape, lostRack);
		if (blocks) {
			this.#updateReservation(shape, blocks, 1);
		}

		return blocks;
	}

	/**
	 * Reserves given blocks for a shape if they are available.
	 *
	 * @param shape - The shape.
	 * @param blocks - The blocks, for example of an earlier packing.
	 * @returns Whether they were reserved.
	 */
	tryReserve(shape: GuaranteeShape, blocks: readonly ShapeBlock[]): boolean {
		const isAvailable = blocks.every(block => {
			const space = this.#spaces.get(block.workerId);
			return space !== undefined
				&& this.#hasCapacityFor(space, shape)
				&& availableAccelerators(space, shape.account).slice(block.start, block.start + shape.blockSize).every(Boolean);
		});
		if (isAvailable) {
			this.#updateReservation(shape, blocks, 1);
		}

		return isAvailable;
	}

	/**
	 * Releases the blocks of a shape.
	 *
	 * @param shape - The shape.
	 * @param blocks - Its blocks.
	 */
	release(shape: GuaranteeShape, blocks: readonly ShapeBlock[]): void {
		this.#updateReservation(shape, blocks, -1);
	}

	#updateReservation(shape: GuaranteeShape, blocks: readonly ShapeBlock[], sign: 1 | -1): void {
		for (const block of blocks) {
			const space = this.#spaces.get(block.workerId)!;
			addScaled(space.committedAmounts, commitmentChange(space, shape.account, sign * shape.blockSize));
			space.reservedByAccount.set(shape.account, (space.reservedByAccount.get(shape.account) ?? 0) + (sign * shape.blockSize));
			space.reserved.fill(sign === 1, block.start, block.start + shape.blockSize);
			space.reservedCount += sign * shape.blockSize;
		}
	}

	#hasCapacityFor(space: WorkerSpace, shape: GuaranteeShape): boolean {
		if (space.worker.accelerators < shape.blockSize) {
			return false;
		}

		const after = commitmentChange(space, shape.account, shape.blockSize);
		addScaled(after, space.committedAmounts);
		return fitsWithin(after, space.worker.capacity);
	}

	#candidateBlocks(space: WorkerSpace, shape: GuaranteeShape): readonly BlockCandidate[] {
		if (space.worker.accelerators - space.reservedCount < shape.blockSize) {
			return [];
		}

		const available = availableAccelerators(space, shape.account);
		const starts = findFreeBlocks(available, shape.blockSize);
		if (starts.length === 0 || !this.#hasCapacityFor(space, shape)) {
			return [];
		}

		return starts.map(start => {
			const ownAcceleratorCount = space.pinnedAccounts.slice(start, start + shape.blockSize).filter(account => account !== undefined).length;
			return {space, start, cost: enclosingFreeBlockSize(available, start, shape.blockSize) - (ownAcceleratorCount * OWN_WORK_COST_REDUCTION)};
		});
	}

	#findBlock(shape: GuaranteeShape, lostRack: string | undefined, choice: 'best' | 'any'): readonly ShapeBlock[] | undefined {
		let best: BlockCandidate | undefined;
		for (const space of this.#spaces.values()) {
			if (space.worker.rack === lostRack) {
				continue;
			}

			for (const block of this.#candidateBlocks(space, shape)) {
				if (!best || block.cost < best.cost) {
					best = block;
				}
			}

			// Without own pinned work to cover, no block costs less than one that is not part of a larger free block.
			if (best && (choice === 'any' || (best.cost === shape.blockSize && !this.#accountsWithPinnedWork.has(shape.account)))) {
				break;
			}
		}

		return best && [{workerId: best.space.worker.workerId, start: best.start}];
	}

	#findWholeWorkers(shape: GuaranteeShape, lostRack: string | undefined): readonly ShapeBlock[] | undefined {
		const groups = new Map<string, BlockCandidate[]>();
		for (const space of this.#spaces.values()) {
			if (space.worker.rack === lostRack) {
				continue;
			}

			const group = shape.needsOneRack ? space.worker.rack : '';
			const block = this.#candidateBlocks(space, shape)[0];
			if (block) {
				groups.set(group, [...groups.get(group) ?? [], block]);
			}
		}

		const rankedGroups = [...groups.values()]
			.filter(group => group.length >= shape.blockCount)
			.map(group => {
				const blocks = group.toSorted((left, right) => left.cost - right.cost).slice(0, shape.blockCount);
				let cost = group.length;
				for (const block of blocks) {
					cost += block.cost;
				}

				return {blocks, cost};
			})
			.toSorted((left, right) => left.cost - right.cost);
		return rankedGroups[0]?.blocks.map(block => ({workerId: block.space.worker.workerId, start: block.start}));
	}
}

function availableAccelerators(space: WorkerSpace, account: string): boolean[] {
	return space.pinnedAccounts.map((pinnedAccount, index) => !space.reserved[index] && (pinnedAccount === undefined || pinnedAccount === account));
}
