import {freeBlocks, surroundingBlock} from './accelerator-blocks.js';
import type {GuaranteeShape} from './guarantee-shape.js';
import {addTo, fitsWithin, type Limits} from './scalar-resources.js';

/** Work that cannot be stopped on one worker. */
export type FixedHolding = {
	readonly account: string;
	readonly accelerators: readonly number[];
	readonly charge: readonly number[];
};

/** A worker for packing guarantees: its capacity and the work that cannot be stopped. */
export type PackingWorker = {
	readonly workerId: string;
	readonly rack: string;
	readonly accelerators: number;
	readonly capacity: readonly number[];
	readonly fixed: readonly FixedHolding[];
};

/** A block of one worker that is set aside for a shape. */
export type ShapeBlock = {readonly workerId: string; readonly start: number};

type WorkerSpace = {
	readonly worker: PackingWorker;
	/** The account whose work cannot be stopped, for each accelerator. */
	readonly holders: Array<string | undefined>;
	readonly taken: boolean[];
	takenCount: number;
	/** Accelerators set aside by account. */
	readonly shares: Map<string, number>;
	readonly fixedUse: Map<string, Limits>;
	readonly committed: Limits;
};

/** A block and how well it suits; lower is better. */
type RatedBlock = {readonly space: WorkerSpace; readonly start: number; readonly rating: number};

/** One accelerator of own work inside a block outweighs any difference in block size. */
const OWN_WORK_WEIGHT = 1000;

function spaceOf(worker: PackingWorker): WorkerSpace {
	const holders: Array<string | undefined> = Array.from({length: worker.accelerators}, () => undefined);
	const fixedUse = new Map<string, Limits>();
	const committed: Limits = [0, 0, 0, 0];
	for (const holding of worker.fixed) {
		for (const number of holding.accelerators) {
			holders[number] = holding.account;
		}

		const use = fixedUse.get(holding.account) ?? [0, 0, 0, 0];
		addTo(use, holding.charge);
		fixedUse.set(holding.account, use);
		addTo(committed, holding.charge);
	}

	return {
		worker, holders, taken: holders.map(() => false), takenCount: 0, shares: new Map(), fixedUse, committed,
	};
}

/** What an account commits on a worker: its share by accelerators, or its fixed work where that is more. */
function commitment(space: WorkerSpace, account: string, accelerators: number): Limits {
	const fixed = space.fixedUse.get(account);
	return space.worker.capacity.map((amount, index) => Math.max(amount * accelerators / space.worker.accelerators, fixed?.[index] ?? 0));
}

/** Change of the commitment when an account's blocks on a worker grow or shrink. */
function commitmentChange(space: WorkerSpace, account: string, change: number): Limits {
	const share = space.shares.get(account) ?? 0;
	const after = commitment(space, account, share + change);
	addTo(after, commitment(space, account, share), -1);
	return after;
}

/**
 * Blocks set aside for guarantees. A shape may cover fixed work of its own account, never of another one,
 * and takes a part of the other four limits in proportion to its accelerators.
 */
export class PackingState {
	readonly #spaces: ReadonlyMap<string, WorkerSpace>;
	readonly #accountsWithFixedWork: ReadonlySet<string>;

	/**
	 * @param workers - The workers with their fixed work.
	 */
	constructor(workers: readonly PackingWorker[]) {
		this.#spaces = new Map(workers.map(worker => [worker.workerId, spaceOf(worker)]));
		this.#accountsWithFixedWork = new Set(workers.flatMap(worker => worker.fixed.map(holding => holding.account)));
	}

	/**
	 * Finds and takes blocks for a shape.
	 *
	 * @param shape - The shape.
	 * @param lostRack - A rack whose workers are not available.
	 * @param choice - `best` spares large blocks and covers own work, `any` takes the first, which is faster.
	 * @returns The blocks, or undefined when there are none.
	 */
	place(shape: GuaranteeShape, lostRack?: string, choice: 'best' | 'any' = 'best'): readonly ShapeBlock[] | undefined {
		if (shape.impossible) {
			return undefined;
		}

		const blocks = shape.blockCount === 1 ? this.#bestBlock(shape, lostRack, choice) : this.#wholeWorkers(shape, lostRack);
		if (blocks) {
			this.#book(shape, blocks, 1);
		}

		return blocks;
	}

	/**
	 * Takes given blocks for a shape when they are available.
	 *
	 * @param shape - The shape.
	 * @param blocks - The blocks, for example of an earlier packing.
	 * @returns Whether they were taken.
	 */
	keep(shape: GuaranteeShape, blocks: readonly ShapeBlock[]): boolean {
		const available = blocks.every(block => {
			const space = this.#spaces.get(block.workerId);
			return space !== undefined
				&& this.#suits(space, shape)
				&& availableFor(space, shape.account).slice(block.start, block.start + shape.blockSize).every(Boolean);
		});
		if (available) {
			this.#book(shape, blocks, 1);
		}

		return available;
	}

	/**
	 * Gives blocks of a shape back.
	 *
	 * @param shape - The shape.
	 * @param blocks - Its blocks.
	 */
	release(shape: GuaranteeShape, blocks: readonly ShapeBlock[]): void {
		this.#book(shape, blocks, -1);
	}

	#book(shape: GuaranteeShape, blocks: readonly ShapeBlock[], sign: 1 | -1): void {
		for (const block of blocks) {
			const space = this.#spaces.get(block.workerId)!;
			addTo(space.committed, commitmentChange(space, shape.account, sign * shape.blockSize));
			space.shares.set(shape.account, (space.shares.get(shape.account) ?? 0) + (sign * shape.blockSize));
			space.taken.fill(sign === 1, block.start, block.start + shape.blockSize);
			space.takenCount += sign * shape.blockSize;
		}
	}

	#suits(space: WorkerSpace, shape: GuaranteeShape): boolean {
		if (space.worker.accelerators < shape.blockSize) {
			return false;
		}

		const after = commitmentChange(space, shape.account, shape.blockSize);
		addTo(after, space.committed);
		return fitsWithin(after, space.worker.capacity);
	}

	#blocksOf(space: WorkerSpace, shape: GuaranteeShape): readonly RatedBlock[] {
		if (space.worker.accelerators - space.takenCount < shape.blockSize) {
			return [];
		}

		const available = availableFor(space, shape.account);
		const starts = freeBlocks(available, shape.blockSize);
		if (starts.length === 0 || !this.#suits(space, shape)) {
			return [];
		}

		return starts.map(start => {
			const own = space.holders.slice(start, start + shape.blockSize).filter(holder => holder !== undefined).length;
			return {space, start, rating: surroundingBlock(available, start, shape.blockSize) - (own * OWN_WORK_WEIGHT)};
		});
	}

	#bestBlock(shape: GuaranteeShape, lostRack: string | undefined, choice: 'best' | 'any'): readonly ShapeBlock[] | undefined {
		let best: RatedBlock | undefined;
		for (const space of this.#spaces.values()) {
			if (space.worker.rack === lostRack) {
				continue;
			}

			for (const block of this.#blocksOf(space, shape)) {
				if (!best || block.rating < best.rating) {
					best = block;
				}
			}

			// Without own work to cover, no block is rated better than one that is not part of a larger one.
			if (best && (choice === 'any' || (best.rating === shape.blockSize && !this.#accountsWithFixedWork.has(shape.account)))) {
				break;
			}
		}

		return best && [{workerId: best.space.worker.workerId, start: best.start}];
	}

	#wholeWorkers(shape: GuaranteeShape, lostRack: string | undefined): readonly ShapeBlock[] | undefined {
		const groups = new Map<string, RatedBlock[]>();
		for (const space of this.#spaces.values()) {
			if (space.worker.rack === lostRack) {
				continue;
			}

			const group = shape.oneRack ? space.worker.rack : '';
			const block = this.#blocksOf(space, shape)[0];
			if (block) {
				groups.set(group, [...groups.get(group) ?? [], block]);
			}
		}

		const rated = [...groups.values()]
			.filter(group => group.length >= shape.blockCount)
			.map(group => {
				const blocks = group.toSorted((left, right) => left.rating - right.rating).slice(0, shape.blockCount);
				let rating = group.length;
				for (const block of blocks) {
					rating += block.rating;
				}

				return {blocks, rating};
			})
			.toSorted((left, right) => left.rating - right.rating);
		return rated[0]?.blocks.map(block => ({workerId: block.space.worker.workerId, start: block.start}));
	}
}

function availableFor(space: WorkerSpace, account: string): boolean[] {
	return space.holders.map((holder, index) => !space.taken[index] && (holder === undefined || holder === account));
}
