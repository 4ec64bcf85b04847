/**
 * Buddy allocation: the accelerators of a worker are allocated in blocks whose size is a power of two
 * and whose first index is a multiple of that size.
 */

/**
 * Rounds a number of accelerators up to a block size.
 *
 * @param accelerators - Accelerators that a task requests.
 * @returns 0 for none, otherwise the smallest power of two that suffices.
 */
export function blockSizeOf(accelerators: number): number {
	return accelerators <= 0 ? 0 : 2 ** Math.ceil(Math.log2(accelerators));
}

/**
 * Lists the accelerators of a block.
 *
 * @param start - The first accelerator.
 * @param size - The size of the block.
 * @returns Their indexes in ascending order.
 */
export function acceleratorsOfBlock(start: number, size: number): readonly number[] {
	return Array.from({length: size}, (_, offset) => start + offset);
}

function isFree(free: readonly boolean[], start: number, size: number): boolean {
	for (let index = start; index < start + size; index++) {
		if (!free[index]) {
			return false;
		}
	}

	return true;
}

/**
 * Finds all free aligned blocks of one size.
 *
 * @param free - For each accelerator, whether it is free.
 * @param size - A power of two.
 * @returns The first accelerator of each block.
 */
export function findFreeBlocks(free: readonly boolean[], size: number): number[] {
	const starts: number[] = [];
	for (let start = 0; start + size <= free.length; start += size) {
		if (isFree(free, start, size)) {
			starts.push(start);
		}
	}

	return starts;
}

/**
 * Finds the largest free aligned block that contains a free block. The smaller it is, the less fragmentation an
 * allocation causes.
 *
 * @param free - For each accelerator, whether it is free.
 * @param start - The first accelerator of a free block.
 * @param size - The size of that block.
 * @returns The size of the enclosing free block.
 */
export function enclosingFreeBlockSize(free: readonly boolean[], start: number, size: number): number {
	let result = size;
	for (let wider = size * 2; wider <= free.length; wider *= 2) {
		const widerStart = start - (start % wider);
		if (widerStart + wider > free.length || !isFree(free, widerStart, wider)) {
			break;
		}

		result = wider;
	}

	return result;
}

/**
 * Finds the largest free aligned block.
 *
 * @param free - For each accelerator, whether it is free.
 * @returns Its size; 0 when no accelerator is free.
 */
export function largestFreeBlockSize(free: readonly boolean[]): number {
	for (let size = 2 ** Math.floor(Math.log2(Math.max(1, free.length))); size >= 1; size /= 2) {
		if (findFreeBlocks(free, size).length > 0) {
			return size;
		}
	}

	return 0;
}
