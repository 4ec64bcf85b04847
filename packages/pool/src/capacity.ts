import type {TaskShape} from './model.js';

/** Nothing of a worker. */
export const EMPTY_SHAPE: TaskShape = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** @returns The sum of two shapes. */
export function addShapes(left: TaskShape, right: TaskShape): TaskShape {
	return {
		cpuMillis: left.cpuMillis + right.cpuMillis,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** @returns The first shape less the second. */
export function subtractShapes(left: TaskShape, right: TaskShape): TaskShape {
	return {
		cpuMillis: left.cpuMillis - right.cpuMillis,
		memoryMb: left.memoryMb - right.memoryMb,
		accelerators: left.accelerators - right.accelerators,
	};
}

/** @returns Whether a shape fits into free room. */
export function fitsInto(shape: TaskShape, room: TaskShape): boolean {
	return shape.cpuMillis <= room.cpuMillis && shape.memoryMb <= room.memoryMb && shape.accelerators <= room.accelerators;
}

/** Cores that one accelerator counts as in the price of lost work. */
const CORES_PER_ACCELERATOR = 8;

/** @returns The cores that a task of this shape occupies, accelerators included. */
export function weightInCores(shape: TaskShape): number {
	return (shape.cpuMillis / 1000) + (shape.accelerators * CORES_PER_ACCELERATOR);
}
