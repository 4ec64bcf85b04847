import {
	addResources, firstExceeded, NO_RESOURCES, type Resources, subtractResources, type TaskAssignment,
} from '@amaranthsail/core';
import {type AgentTask, isOnWorker} from './agent-task.js';

/**
 * Returns the reason why a task does not fit on the worker, checking all five resources and the accelerator numbers.
 *
 * @param assignment - The task's assignment.
 * @param tasks - All tasks of the agent.
 * @param capacity - The worker's capacity.
 * @returns A reason code, or undefined when the task fits.
 */
export function resourceRefusalReason(assignment: TaskAssignment, tasks: Iterable<AgentTask>, capacity: Resources): string | undefined {
	let allocated: Resources = NO_RESOURCES;
	const allocatedAccelerators = new Set<number>();
	for (const task of tasks) {
		if (task.assignment === undefined || (task.phase !== 'prepared' && !isOnWorker(task))) {
			continue;
		}

		allocated = addResources(allocated, task.assignment.shape);
		for (const accelerator of task.assignment.accelerators) {
			allocatedAccelerators.add(accelerator);
		}
	}

	const exceeded = firstExceeded(assignment.shape, subtractResources(capacity, allocated));
	if (exceeded !== undefined) {
		return `no_${exceeded}`;
	}

	const {accelerators, shape} = assignment;
	if (new Set(accelerators).size !== shape.accelerators || accelerators.length !== shape.accelerators) {
		return 'wrong_accelerators';
	}

	const isFree = accelerators.every(accelerator => Number.isInteger(accelerator) && accelerator >= 0 && accelerator < capacity.accelerators && !allocatedAccelerators.has(accelerator));
	return isFree ? undefined : 'accelerator_taken';
}
