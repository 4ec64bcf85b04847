import {addShapes, EMPTY_SHAPE} from './capacity.js';
import {type Run, RUN_PHASES} from './job-model.js';
import {type ListedEnd, type ListedRun, RUN_OUTCOMES} from './model.js';
import type {PoolContext} from './pool-context.js';
import type {RunLifecycle} from './run-lifecycle.js';
import type {WorkerEntry} from './tracked-worker.js';

/** Compares what workers list with what is expected there. */
export class WorkerListReader {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;

	/**
	 * @param context - State of the pool.
	 * @param runs - Takes progress and ends of runs.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
	}

	/**
	 * Compares the runs that a worker lists with those that are expected there.
	 *
	 * @param worker - The worker; its `ordersBefore` belongs to the lists.
	 * @param running - What it lists as running.
	 */
	reconcile(worker: WorkerEntry, running: readonly ListedRun[]): void {
		const listed = new Map(running.map(entry => [entry.task, entry]));
		for (const run of worker.runs.values()) {
			const entry = listed.get(run.task.name);
			if (entry?.run === run.number) {
				listed.delete(run.task.name);
				run.listedAtClockMs ??= worker.clockMs;
				this.#runs.noteListed(run, entry);
			} else if (run.phase === RUN_PHASES.stopping && run.stopAcknowledgedAtOrder !== undefined && run.stopAcknowledgedAtOrder <= worker.ordersBefore) {
				this.#runs.end(run, RUN_OUTCOMES.stopped, '');
			} else if (run.phase === RUN_PHASES.running && isAbsenceTelling(run, worker)) {
				this.#context.log('run vanished', {task: run.task.name, run: run.number, worker: worker.life});
				this.#runs.end(run, RUN_OUTCOMES.lapsed, '');
			}
		}

		this.#stopUnexpected(worker, [...listed.values()].filter(entry => entry.run > (worker.endedRuns.get(entry.task) ?? 0)));
	}

	/**
	 * Takes an end that a worker lists.
	 *
	 * @param worker - The worker.
	 * @param listed - The end; not seen before.
	 */
	onListedEnd(worker: WorkerEntry, listed: ListedEnd): void {
		const run = worker.runs.get(listed.task);
		worker.endedRuns.set(listed.task, Math.max(listed.run, worker.endedRuns.get(listed.task) ?? 0));
		if (run?.number === listed.run) {
			this.#runs.end(run, listed.outcome, listed.checkpoint);
		} else {
			this.#runs.onStaleEnd(worker, listed);
		}

		// An end may be acknowledged only after its outcome is stored.
		this.#context.commits.enqueue([], () => {
			worker.ackSequence = Math.max(worker.ackSequence, listed.sequence);
		});
	}

	#stopUnexpected(worker: WorkerEntry, entries: readonly ListedRun[]): void {
		const nowMs = this.#context.nowMs();
		worker.hasUnknownRuns = false;
		worker.unexpectedShape = EMPTY_SHAPE;
		for (const entry of entries) {
			const task = this.#context.findTask(entry.task);
			if (task) {
				worker.unexpectedShape = addShapes(worker.unexpectedShape, task.step.spec.shape);
			} else {
				worker.hasUnknownRuns = true;
			}

			if ((worker.unexpectedStops.get(entry.task) ?? 0) <= nowMs) {
				worker.unexpectedStops.set(entry.task, nowMs + this.#context.limits.orderRetryMs);
				this.#context.log('unexpected run', {task: entry.task, run: entry.run, worker: worker.life, isJobKnown: task !== undefined});
				this.#context.send({agent: worker.agent, life: worker.life, order: {kind: 'stop', task: entry.task, run: entry.run}});
			}
		}

		if (entries.length === 0) {
			worker.unexpectedStops.clear();
		}
	}
}

/**
 * Whether lists without a run mean that it is gone: they were asked for after its start was acknowledged, or
 * are newer by the worker's clock than lists that had it. Lists of the same millisecond have no order.
 */
function isAbsenceTelling(run: Run, worker: WorkerEntry): boolean {
	const isAfterStart = run.startConfirmedAtOrder !== undefined && run.startConfirmedAtOrder <= worker.ordersBefore;
	return run.listedAtClockMs === undefined ? isAfterStart : worker.clockMs > run.listedAtClockMs;
}
