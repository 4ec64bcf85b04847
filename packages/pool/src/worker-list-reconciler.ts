import {addShapes, EMPTY_SHAPE} from './capacity.js';
import {type Run, RUN_PHASES} from './job-model.js';
import {isLateStartOverdue} from './late-starts.js';
import {type ListedEnd, type ListedRun, RUN_OUTCOMES} from './model.js';
import {PaceObserver} from './pace-observation.js';
import type {PoolContext} from './pool-context.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {recordBegun} from './task-beginning.js';
import {rackOf, type TrackedWorker} from './tracked-worker.js';

/** A worker that has forgotten an end unread may forget the next ones too, until their numbers exceed a foreign acknowledgement. */
const FORGOTTEN_END_QUARANTINE_MS = 30_000;

/** Ends that a worker lists at a time. With so many of them, a run that is not listed may have ended as well. */
const MAX_LISTED_ENDS = 500;

/** Reconciles the runs that workers list with those that the leader expects there. */
export class WorkerListReconciler {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	/** Runs whose success is in the lists that are being processed. */
	readonly #completedRuns: Run[] = [];
	readonly #paces = new PaceObserver();

	/**
	 * @param context - State of the pool.
	 * @param runs - Records progress and ends of runs.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
	}

	/**
	 * Records progress of listed runs, ends expected runs that are gone, and stops unexpected ones. An expected run is gone
	 * only if all ends are listed; otherwise its end follows once those that are listed have been acknowledged.
	 *
	 * @param worker - The worker; its clock and `orderCountBeforeLists` belong to the same lists.
	 * @param lists - The runs that it lists as running, and the number of ends that it lists.
	 */
	reconcile(worker: TrackedWorker, {running, endCount}: {readonly running: readonly ListedRun[]; readonly endCount: number}): void {
		worker.endAcknowledgements.settleEnded(name => this.#context.hasJobEnded(name));
		const listed = new Map(running.map(entry => [entry.task, entry]));
		const areAllEndsListed = endCount < MAX_LISTED_ENDS;
		const listedRuns: Run[] = [];
		const progressing: Array<readonly [Run, ListedRun]> = [];
		for (const run of worker.runs.values()) {
			const entry = listed.get(run.task.name);
			if (entry?.run === run.number) {
				listed.delete(run.task.name);
				run.firstListedAtWorkerClockMs ??= worker.workerClockMs;
				this.#runs.onListed(run, entry, worker.listsAsOfMs);
				listedRuns.push(run);
				if (run.phase === RUN_PHASES.running) {
					progressing.push([run, entry]);
				}
			} else if (areAllEndsListed && run.phase === RUN_PHASES.stopping && run.stopAcknowledgedOrderCount !== undefined && run.stopAcknowledgedOrderCount <= worker.orderCountBeforeLists) {
				this.#runs.end(run, RUN_OUTCOMES.stopped, '');
			} else if (isLateStartOverdue(run, this.#context.nowMs())) {
				this.#runs.end(run, RUN_OUTCOMES.stopped, '');
			} else if (areAllEndsListed && run.phase === RUN_PHASES.running && isRunGone(run, worker)) {
				this.#context.log('run vanished', {
					task: run.task.name, run: run.number, worker: worker.incarnation, percent: run.percent, highestEnd: worker.processedSequence,
				});
				worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, this.#context.nowMs() + FORGOTTEN_END_QUARANTINE_MS);
				this.#runs.end(run, RUN_OUTCOMES.lapsed, '');
			}
		}

		this.#stopUnexpected(worker, [...listed.values()].filter(entry => entry.run > (worker.highestEndedRuns.get(entry.task) ?? 0)));
		this.#context.interference.observe(worker, listedRuns, this.#completedRuns.splice(0), this.#context.nowMs());
		this.#observePaces(worker, progressing);
	}

	/**
	 * Processes an end that a worker lists.
	 *
	 * @param worker - The worker.
	 * @param listed - The end; not processed before.
	 */
	onListedEnd(worker: TrackedWorker, listed: ListedEnd): void {
		const run = worker.runs.get(listed.task);
		worker.highestEndedRuns.set(listed.task, Math.max(listed.run, worker.highestEndedRuns.get(listed.task) ?? 0));
		if (listed.outcome === RUN_OUTCOMES.unreadable) {
			this.#onUnreadableEnd(worker, listed, run);
			return;
		}

		if (run?.number === listed.run) {
			recordBegun(run.task, this.#context);
			if (listed.outcome === RUN_OUTCOMES.done) {
				this.#completedRuns.push(run);
			}
		}

		worker.endAcknowledgements.add(listed.sequence, listed.task);
		// An end may be acknowledged only after its outcome is stored.
		this.#context.commits.enqueueAll(() => {
			if (run?.number === listed.run) {
				this.#runs.end(run, listed.outcome, listed.checkpoint);
			} else {
				this.#runs.onLateEnd(worker, listed);
				const write = this.#context.unreadableJobs.recordEnd(listed);
				this.#context.commits.enqueue(write ? [write] : [], () => undefined);
			}
		}, () => {
			worker.endAcknowledgements.settle(listed.sequence);
		});
	}

	/** The run may have been done. An end that is never acknowledged does not count, so its task is started again. */
	#onUnreadableEnd(worker: TrackedWorker, {sequence, task, run: runNumber}: ListedEnd, run: Run | undefined): void {
		this.#context.log('end unreadable', {
			worker: worker.incarnation, sequence, task, run: runNumber,
		});
		worker.endAcknowledgements.add(sequence, '');
		if (run?.number === runNumber) {
			recordBegun(run.task, this.#context);
			this.#runs.end(run, RUN_OUTCOMES.lapsed, '');
		}
	}

	/** A task away from its data is slower for another reason than its worker. */
	#observePaces(worker: TrackedWorker, progressing: ReadonlyArray<readonly [Run, ListedRun]>): void {
		const rack = rackOf(worker.facts);
		const samples = this.#paces.observe(worker, progressing);
		this.#context.speeds.observe(samples.filter(({step}) => (step.spec.preferredRack ?? rack) === rack));
	}

	#stopUnexpected(worker: TrackedWorker, entries: readonly ListedRun[]): void {
		const nowMs = this.#context.nowMs();
		worker.hasUnknownRuns = false;
		worker.unexpectedCapacity = EMPTY_SHAPE;
		for (const entry of entries) {
			const task = this.#context.findTask(entry.task);
			if (task) {
				worker.unexpectedCapacity = addShapes(worker.unexpectedCapacity, task.step.spec.shape);
			} else {
				worker.hasUnknownRuns = true;
			}

			if ((worker.unexpectedStopDueMs.get(entry.task) ?? 0) <= nowMs) {
				worker.unexpectedStopDueMs.set(entry.task, nowMs + this.#context.limits.orderRetryDelayMs);
				this.#context.log('unexpected run', {task: entry.task, run: entry.run, worker: worker.incarnation, isJobKnown: task !== undefined});
				this.#context.queueOrder({agent: worker.agent, incarnation: worker.incarnation, order: {kind: 'stop', task: entry.task, run: entry.run}});
			}
		}

		if (entries.length === 0) {
			worker.unexpectedStopDueMs.clear();
		}
	}
}

/**
 * Whether lists without a run show that it is gone: they were requested after its start was acknowledged, or are
 * newer by the worker's clock than the first lists that had it. Lists of the same millisecond have no order.
 */
function isRunGone(run: Run, worker: TrackedWorker): boolean {
	const isAfterStart = run.startAcknowledgedOrderCount !== undefined && run.startAcknowledgedOrderCount <= worker.orderCountBeforeLists;
	return run.firstListedAtWorkerClockMs === undefined ? isAfterStart : worker.workerClockMs > run.firstListedAtWorkerClockMs;
}
