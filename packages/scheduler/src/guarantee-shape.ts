import {blockSizeOf} from './accelerator-blocks.js';
import type {Guarantee} from './scheduler.js';

/** One shape of a guarantee: one aligned block on one worker, or several whole workers. */
export type GuaranteeShape = {
	readonly key: string;
	readonly guarantee: Guarantee;
	readonly account: string;
	readonly blockSize: number;
	readonly blockCount: number;
	/** Whether all blocks have to be in one rack. */
	readonly needsOneRack: boolean;
	/** Whether no set of workers of the present size can hold the shape. */
	readonly isImpossible: boolean;
};

/**
 * Splits guarantees into shapes, hardest to place first.
 *
 * @param guarantees - The guarantees of one failure domain.
 * @param maxWorkerAccelerators - Accelerators of the largest worker.
 * @returns The shapes in the order in which they should be packed.
 */
export function splitIntoShapes(guarantees: readonly Guarantee[], maxWorkerAccelerators: number): readonly GuaranteeShape[] {
	const shapes = guarantees.flatMap(guarantee => Array.from({length: guarantee.count}, (_, index): GuaranteeShape => {
		const needsWholeWorkers = guarantee.accelerators > maxWorkerAccelerators;
		return {
			key: `${guarantee.name}/${index}`,
			guarantee,
			account: guarantee.account,
			blockSize: needsWholeWorkers ? maxWorkerAccelerators : blockSizeOf(guarantee.accelerators),
			blockCount: needsWholeWorkers ? Math.ceil(guarantee.accelerators / Math.max(1, maxWorkerAccelerators)) : 1,
			needsOneRack: guarantee.adjacency === 'rack',
			isImpossible: needsWholeWorkers && (guarantee.adjacency === 'worker' || maxWorkerAccelerators === 0),
		};
	}));
	return shapes.toSorted((left, right) => right.blockCount - left.blockCount
		|| Number(right.needsOneRack) - Number(left.needsOneRack)
		|| right.blockSize - left.blockSize
		|| Number(right.guarantee.survivesRackLoss) - Number(left.guarantee.survivesRackLoss));
}
