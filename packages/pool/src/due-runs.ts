import {type Job, type Run, RUN_PHASES} from './job-model.js';
import {MAX_STARTS} from './orders-in-flight.js';

/**
 * Orders the runs of a worker in the order in which their orders are sent. Starts are bounded, so those of several jobs
 * take turns: otherwise a small job would wait until all tasks of the wide ones before it have started.
 *
 * @param runs - The runs, in the order of their placement.
 * @returns All runs in that order if all may start at once; otherwise those that do not start, and then the starts by turns.
 */
export function orderDueRuns(runs: ReadonlyMap<string, Run>): Iterable<Run> {
	if (runs.size <= MAX_STARTS) {
		return runs.values();
	}

	const ordered: Run[] = [];
	const startsByJob = new Map<Job, Run[]>();
	for (const run of runs.values()) {
		if (run.phase !== RUN_PHASES.starting) {
			ordered.push(run);
			continue;
		}

		const {job} = run.task.step;
		const starts = startsByJob.get(job);
		if (starts) {
			starts.push(run);
		} else {
			startsByJob.set(job, [run]);
		}
	}

	const waiting = [...startsByJob.values()];
	const longest = Math.max(0, ...waiting.map(starts => starts.length));
	for (let turn = 0; turn < longest; turn++) {
		for (const starts of waiting) {
			const run = starts[turn];
			if (run) {
				ordered.push(run);
			}
		}
	}

	return ordered;
}
