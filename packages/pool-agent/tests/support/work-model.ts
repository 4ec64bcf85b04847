import {RUN_OUTCOMES, type StepSpec} from '@amaranthsail/pool';
import type {EmulatedRun, WorkerIncarnation} from './worker-incarnation.js';

/** Work of a task. */
export type TaskWork = {
	readonly step: StepSpec;
	readonly workMs: number;
	/** Its runs fail before they are done. */
	readonly isHopeless?: boolean;
};

/** Time for which members of a gang wait for the others. */
const GANG_TIMEOUT_MS = 10_000;

const CHECKPOINT_INTERVAL_MS = 1000;

/** Share of its work after which a hopeless task fails. */
const FAILURE_SHARE = 0.6;

/** Makes the runs on all workers progress and end. The members of a gang work only together, and are done together. */
export class WorkModel {
	readonly #workOf: (task: string) => TaskWork;

	/** @param workOf - Returns the work of a task, given its name. */
	constructor(workOf: (task: string) => TaskWork) {
		this.#workOf = workOf;
	}

	/**
	 * Advances all runs.
	 *
	 * @param workers - The workers that are up.
	 * @param byMs - Time since the last call.
	 */
	advance(workers: readonly WorkerIncarnation[], byMs: number): void {
		for (const worker of workers) {
			worker.tick();
		}

		for (const worker of workers) {
			for (const [task, run] of worker.runs) {
				if (worker.runs.get(task) === run && run.stopsAtMs === undefined) {
					this.#work({worker, task, run}, workers, byMs);
				}
			}
		}
	}

	#work({worker, task, run}: {readonly worker: WorkerIncarnation; readonly task: string; readonly run: EmulatedRun}, workers: readonly WorkerIncarnation[], byMs: number): void {
		const {step, workMs, isHopeless} = this.#workOf(task);
		const prefix = task.slice(0, task.lastIndexOf('.') + 1);
		const members = step.isGang ? Array.from({length: step.taskCount}, (_, index) => `${prefix}${index}`) : [task];
		const holders = members.map(member => workers.find(holder => holder.runs.get(member)?.run === run.run));
		if (holders.includes(undefined)) {
			run.waitedMs += byMs;
			if (run.wasComplete || run.waitedMs > GANG_TIMEOUT_MS) {
				worker.end(task, run.wasComplete ? RUN_OUTCOMES.broken : RUN_OUTCOMES.alone);
			}

			return;
		}

		run.wasComplete = true;
		run.workedMs = Math.max(run.workedMs, Number(run.checkpoint)) + byMs;
		run.percent = step.isLasting ? 100 : Math.min(99, Math.floor(run.workedMs / workMs * 100));
		if (step.isCheckpointing) {
			run.checkpoint = String(Math.floor(run.workedMs / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS);
		}

		if (isHopeless && run.workedMs >= workMs * FAILURE_SHARE) {
			worker.end(task, RUN_OUTCOMES.failed);
		} else if (run.workedMs >= workMs && !step.isLasting) {
			for (const [index, member] of members.entries()) {
				holders[index]!.end(member, RUN_OUTCOMES.done);
			}
		}
	}
}
