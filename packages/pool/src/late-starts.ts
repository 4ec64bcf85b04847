import {type Run, RUN_PHASES} from './job-model.js';
import type {PoolContext} from './pool-context.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {type TrackedWorker, workerIdOf} from './tracked-worker.js';
import {MAX_CALL_DELAY_MS, mayStartLate} from './unanswered-starts.js';

/**
 * Prevents starts that remained unanswered from being carried out by a later incarnation of their worker. An incarnation
 * with the same id accepts them, as it knows neither the stops nor the ends of earlier ones, until that run is stopped there.
 */
export class LateStarts {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	/** Last incarnations of workers that have recently left or been replaced, in the order in which they were, by id. */
	readonly #left = new Map<string, {readonly worker: TrackedWorker; readonly atMs: number}>();

	/**
	 * @param context - State of the pool.
	 * @param runs - Stops the runs.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
	}

	/**
	 * Has a run whose start may be late stopped at the next incarnation. Its task, and the gang, are placed again once that
	 * stop is acknowledged.
	 *
	 * @param run - A run on an incarnation that has ended.
	 * @param next - The incarnation that has reported instead.
	 * @returns Whether the run is kept; otherwise it has ended with its worker.
	 */
	keep(run: Run, next: TrackedWorker): boolean {
		const {task} = run;
		if (task.run !== run || !mayStartLate(run, this.#context.nowMs()) || workerIdOf(run.incarnation) !== next.facts.id) {
			return false;
		}

		const {knownSinceMs, firstListedAtWorkerClockMs, startAcknowledgedOrderCount, stopAcknowledgedOrderCount, startUnansweredSinceMs, ...state} = run;
		const nowMs = this.#context.nowMs();
		const kept: Run = {
			...state, incarnation: next.incarnation, phase: RUN_PHASES.stopping, unansweredStarts: 0, isOrderInFlight: false, nextOrderAtMs: nowMs,
			keptFor: {incarnation: run.keptFor?.incarnation ?? run.incarnation, untilMs: run.keptFor?.untilMs ?? nowMs + MAX_CALL_DELAY_MS},
		};
		this.#context.log('late start awaited', {job: task.step.job.id, task: task.name, run: run.number, worker: kept.keptFor!.incarnation, next: next.incarnation});
		task.run = kept;
		next.runs.set(task.name, kept);
		this.#runs.sendDueOrder(kept);
		this.#runs.stopUnit(kept, 'a member of the gang has lost its worker');
		return true;
	}

	/**
	 * Takes over what may still reach the next incarnation: starts of runs that have recently ended while a start of theirs
	 * remained unanswered, and deadlines of leases.
	 *
	 * @param worker - The earlier incarnation.
	 * @param next - The incarnation that has reported instead.
	 */
	takeOver(worker: TrackedWorker, next: TrackedWorker): void {
		if (worker.facts.id !== next.facts.id) {
			return;
		}

		// Calls to the earlier incarnation name deadlines on its clock, which lie far ahead on that of the next one.
		next.lateCallsUntilMs = this.#context.nowMs() + MAX_CALL_DELAY_MS;
		const sinceMs = this.#context.nowMs() - MAX_CALL_DELAY_MS;
		for (const [task, ended] of worker.endedUnanswered) {
			if (ended.endedAtMs >= sinceMs && !next.runs.has(task)) {
				next.endedUnanswered.set(task, ended);
				next.lateStops.set(task, {run: ended.run, dueMs: 0, untilMs: ended.endedAtMs + MAX_CALL_DELAY_MS});
			}
		}
	}

	/**
	 * Remembers a worker that has left, or that another one has replaced, as it may start again under its id.
	 *
	 * @param worker - Its last incarnation; its runs have ended.
	 */
	recordLeft(worker: TrackedWorker): void {
		const nowMs = this.#context.nowMs();
		for (const [id, {atMs}] of this.#left) {
			if (atMs >= nowMs - MAX_CALL_DELAY_MS) {
				break;
			}

			this.#left.delete(id);
		}

		this.#left.delete(worker.facts.id);
		this.#left.set(worker.facts.id, {worker, atMs: nowMs});
	}

	/**
	 * Takes over what may still reach a new incarnation of a worker that has recently left or been replaced.
	 *
	 * @param next - The new incarnation.
	 */
	takeOverFromLeft(next: TrackedWorker): void {
		const left = this.#left.get(next.facts.id);
		if (left && left.worker.incarnation !== next.incarnation && left.atMs >= this.#context.nowMs() - MAX_CALL_DELAY_MS) {
			this.#left.delete(next.facts.id);
			this.takeOver(left.worker, next);
		}
	}

	/**
	 * Sends the due stops of runs that must not start late.
	 *
	 * @param worker - The worker.
	 */
	sendDueStops(worker: TrackedWorker): void {
		const nowMs = this.#context.nowMs();
		for (const [task, stop] of worker.lateStops) {
			if (stop.untilMs <= nowMs) {
				worker.lateStops.delete(task);
			} else if (stop.dueMs <= nowMs) {
				stop.dueMs = nowMs + this.#context.limits.orderRetryDelayMs;
				this.#context.queueOrder({agent: worker.agent, incarnation: worker.incarnation, order: {kind: 'stop', task, run: stop.run}});
			}
		}
	}
}

/** @returns Whether a late start of the run has been awaited for so long that its task is placed again. */
export function isLateStartOverdue(run: Run, nowMs: number): boolean {
	return run.keptFor !== undefined && nowMs >= run.keptFor.untilMs;
}
