import {blockSizeOf} from './accelerator-blocks.js';
import type {Guarantee} from './scheduler.js';

/** One shape of a guarantee as blocks: one aligned block of one worker, or several whole workers. */
export type GuaranteeShape = {
	readonly key: string;
	readonly guarantee: Guarantee;
	readonly account: string;
	readonly blockSize: number;
	readonly blockCount: number;
	/** Whether several blocks have to lie in one rack. */
	readonly oneRack: boolean;
	/** Whether no set of workers of this size can hold the shape. */
	readonly impossible: boolean;
};

/**
 * Splits guarantees into shapes, hardest to place first.
 *
 * @param guarantees - The guarantees of one failure domain.
 * @param workerAccelerators - Accelerators of the largest worker.
 * @returns The shapes in the order in which they should be packed.
 */
export function shapesOf(guarantees: readonly Guarantee[], workerAccelerators: number): readonly GuaranteeShape[] {
	const shapes = guarantees.flatMap(guarantee => Array.from({length: guarantee.count}, (_, index): GuaranteeShape => {
		const whole = guarantee.accelerators > workerAccelerators;
		return {
			key: `${guarantee.name}/${index}`,
			guarantee,
			account: guarantee.account,
			blockSize: whole ? workerAccelerators : blockSizeOf(guarantee.accelerators),
			blockCount: whole ? Math.ceil(guarantee.accelerators / Math.max(1, workerAccelerators)) : 1,
			oneRack: guarantee.adjacency === 'rack',
			impossible: whole && (guarantee.adjacency === 'worker' || workerAccelerators === 0),
		};
	}));
	return shapes.toSorted((left, right) => right.blockCount - left.blockCount
		|| Number(right.oneRack) - Number(left.oneRack)
		|| right.blockSize - left.blockSize
		|| Number(right.guarantee.survivesRackLoss) - Number(left.guarantee.survivesRackLoss));
}
