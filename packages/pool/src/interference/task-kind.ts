import type {StepState} from '../job-model.js';

const kinds = new WeakMap<StepState, string>();

/**
 * Names the kind of work of a step: its image if the job states one, otherwise its queue and shape.
 *
 * @param step - The step.
 * @returns The kind.
 */
export function kindOf(step: StepState): string {
	let kind = kinds.get(step);
	if (kind === undefined) {
		const {image, shape} = step.spec;
		// A damaged row may have any value here.
		kind = typeof image === 'string' ? `image ${image}` : `queue ${step.job.queueName} ${shape.cpuMillis}/${shape.memoryMb}/${shape.accelerators}`;
		kinds.set(step, kind);
	}

	return kind;
}
