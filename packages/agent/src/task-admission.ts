import {
	addResources, firstExceeded, NO_RESOURCES, type Resources, subtractResources, type TaskAssignment,
} from '@amaranthsail/core';
import {type HeldTask, isOnWorker} from './agent-task.js';

/**
 * Tells why a worker cannot take a task, with all five limits.
 *
 * @param assignment - What the task needs.
 * @param tasks - The tasks that the agent holds.
 * @param capacity - What the worker has.
 * @returns A reason code, or undefined when the task fits.
 */
export function refusalByResources(assignment: TaskAssignment, tasks: Iterable<HeldTask>, capacity: Resources): string | undefined {
	let granted: Resources = NO_RESOURCES;
	const taken = new Set<number>();
	for (const task of tasks) {
		if (task.assignment === undefined || (task.phase !== 'prepared' && !isOnWorker(task))) {
			continue;
		}

		granted = addResources(granted, task.assignment.shape);
		for (const accelerator of task.assignment.accelerators) {
			taken.add(accelerator);
		}
	}

	const exceeded = firstExceeded(assignment.shape, subtractResources(capacity, granted));
	if (exceeded !== undefined) {
		return `no_${exceeded}`;
	}

	const {accelerators, shape} = assignment;
	if (new Set(accelerators).size !== shape.accelerators || accelerators.length !== shape.accelerators) {
		return 'wrong_accelerators';
	}

	const isFree = accelerators.every(accelerator => Number.isInteger(accelerator) && accelerator >= 0 && accelerator < capacity.accelerators && !taken.has(accelerator));
	return isFree ? undefined : 'accelerator_taken';
}
