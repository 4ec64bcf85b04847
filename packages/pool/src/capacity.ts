import type {TaskShape} from './model.js';

/** A shape that needs no capacity. */
export const EMPTY_SHAPE: TaskShape = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** @returns The sum of two shapes. */
export function addShapes(left: TaskShape, right: TaskShape): TaskShape {
	return {
		cpuMillis: left.cpuMillis + right.cpuMillis,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** @returns The first shape minus the second. */
export function subtractShapes(left: TaskShape, right: TaskShape): TaskShape {
	return {
		cpuMillis: left.cpuMillis - right.cpuMillis,
		memoryMb: left.memoryMb - right.memoryMb,
		accelerators: left.accelerators - right.accelerators,
	};
}

/** @returns Whether a shape fits into free capacity. */
export function fitsInto(shape: TaskShape, free: TaskShape): boolean {
	return shape.cpuMillis <= free.cpuMillis && shape.memoryMb <= free.memoryMb && shape.accelerators <= free.accelerators;
}

/** @returns Whether two shapes are the same. */
export function isSameShape(left: TaskShape, right: TaskShape): boolean {
	return fitsInto(left, right) && fitsInto(right, left);
}

/** Cores that one accelerator counts as in the cost of lost work. */
const CORES_PER_ACCELERATOR = 8;

/** @returns The cores that a task of this shape occupies, accelerators included. */
export function weightInCores(shape: TaskShape): number {
	return (shape.cpuMillis / 1000) + (shape.accelerators * CORES_PER_ACCELERATOR);
}
