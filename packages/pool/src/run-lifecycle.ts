import {
	createRun, type Job, mayHaveStarted, type Run, type Task, RUN_PHASES, unitOf,
} from './job-model.js';
import {
	type ListedEnd, type ListedRun, type OrderOutcome, REFUSALS, RUN_OUTCOMES, type RunOutcome, type WorkerOrder,
} from './model.js';
import {queueDueOrder} from './due-order.js';
import {lostCoreSeconds} from './lost-work.js';
import type {PoolContext} from './pool-context.js';
import type {RowWrite} from './ports.js';
import {encodeRunRow} from './run-row.js';
import {recordProgress} from './stalled-runs.js';
import {recordBegun} from './task-beginning.js';
import type {TrackedWorker} from './tracked-worker.js';
import {recordEndedUnanswered} from './unanswered-starts.js';
import {recordStartAnswer} from './worker-crash.js';
import {recordRunFailure, recordRunSuccess} from './worker-quarantine.js';

/** Starts, stops and ends the runs of tasks. */
export class RunLifecycle {
	readonly #context: PoolContext;
	readonly #onTaskEnded: (job: Job) => void;
	readonly #pendingCheckpoints = new Set<Run>();

	/**
	 * @param context - State of the pool.
	 * @param onTaskEnded - Called when a task of the job is done or has failed.
	 */
	constructor(context: PoolContext, onTaskEnded: (job: Job) => void) {
		this.#context = context;
		this.#onTaskEnded = onTaskEnded;
	}

	/**
	 * Places a task, or all members of a gang, and sends the starts once the placement is stored.
	 *
	 * @param tasks - The task or the members of the gang.
	 * @param incarnations - The worker incarnation for each task.
	 */
	start(tasks: readonly Task[], incarnations: readonly string[]): void {
		const nowMs = this.#context.nowMs();
		const number = Math.max(...tasks.map(task => task.lastRunNumber)) + 1;
		const runs = tasks.map((task, index) => {
			const run = createRun(task, {number, incarnation: incarnations[index]!, phase: RUN_PHASES.recording, nowMs});
			task.lastRunNumber = number;
			task.run = run;
			this.#context.workers.get(run.incarnation)!.runs.set(task.name, run);
			return run;
		});
		const [first] = tasks;
		this.#context.log('task placed', {
			job: first!.step.job.id, task: first!.name, members: tasks.length, run: number, workers: incarnations, waitedMs: Math.round(nowMs - (first!.step.readyAtMs ?? nowMs)),
		});
		this.#context.commits.enqueue(tasks.map(task => encodeRunRow(task)), () => {
			for (const run of runs) {
				if (run.phase === RUN_PHASES.recording) {
					run.phase = RUN_PHASES.starting;
					this.sendDueOrder(run);
				}
			}
		});
	}

	/**
	 * Stops a run; it keeps its capacity until its end is known.
	 *
	 * @param run - The run.
	 * @param reason - For the log.
	 */
	stop(run: Run, reason: string): void {
		if (run.phase === RUN_PHASES.stopping) {
			return;
		}

		this.#context.log('run stopping', {job: run.task.step.job.id, task: run.task.name, run: run.number, worker: run.incarnation, reason});
		run.phase = RUN_PHASES.stopping;
		run.nextOrderAtMs = this.#context.nowMs();
		if (!mayHaveStarted(run)) {
			// No start has reached the worker, so it has nothing to stop.
			this.end(run, RUN_OUTCOMES.stopped, '');
			return;
		}

		this.sendDueOrder(run);
	}

	/**
	 * Stores the checkpoints that runs have written since the last call, so that work survives if its worker and the
	 * leader are lost together.
	 */
	storeCheckpoints(): void {
		const rows = new Map<string, RowWrite>();
		for (const run of this.#pendingCheckpoints) {
			if (run.task.run !== run || run.task.isDone || run.task.step.job.isEnding || run.phase === RUN_PHASES.stopping) {
				continue;
			}

			// Any member's checkpoint serves the whole gang, and all members have to resume from the same one.
			const [first] = unitOf(run.task);
			first!.checkpoint = run.checkpoint;
			rows.set(first!.name, encodeRunRow(first!));
		}

		this.#pendingCheckpoints.clear();
		for (const row of rows.values()) {
			this.#context.commits.enqueue([row], () => undefined);
		}
	}

	/** @param task - A task whose stored state has changed without a change of its run. */
	storeTask(task: Task): void {
		if (!task.step.job.isEnding) {
			this.#context.commits.enqueue([encodeRunRow(task)], () => undefined);
		}
	}

	/**
	 * Stops a run and, if it belongs to a gang, the other members.
	 *
	 * @param run - The run.
	 * @param reason - For the log.
	 */
	stopUnit(run: Run, reason: string): void {
		if (!run.task.step.spec.isGang) {
			this.stop(run, reason);
			return;
		}

		for (const task of run.task.step.tasks) {
			if (task.run) {
				this.stop(task.run, reason);
			}
		}
	}

	/**
	 * Sends the start or stop order that a run's phase requires, if it is due. Starts that the worker may no longer get are withdrawn.
	 *
	 * @param run - The run.
	 */
	sendDueOrder(run: Run): void {
		const reason = queueDueOrder(run, this.#context);
		if (reason !== undefined) {
			this.stopUnit(run, reason);
		}
	}

	/**
	 * Processes the outcome of an order.
	 *
	 * @param incarnation - The worker incarnation that the order was sent to.
	 * @param order - The order.
	 * @param outcome - Its outcome.
	 * @param orderCount - The agent's count of orders, including this one.
	 */
	onOrderOutcome(incarnation: string, order: WorkerOrder, outcome: OrderOutcome, orderCount: number): void {
		const worker = this.#context.workers.get(incarnation);
		const run = worker?.runs.get(order.task);
		worker?.ordersInFlight.remove(order);
		this.#context.log('order answered', {
			task: order.task, run: order.run, worker: incarnation, order: order.kind, outcome,
		});
		if (outcome.kind === 'refused' && outcome.reason === REFUSALS.fenced) {
			this.#context.isFenced = true;
			return;
		}

		if (run?.number !== order.run) {
			if (outcome.kind === 'done' && order.kind === 'stop') {
				worker?.lateStops.delete(order.task);
			}

			return;
		}

		run.isOrderInFlight = false;
		run.nextOrderAtMs = this.#context.nowMs() + this.#context.limits.orderRetryDelayMs;
		if (order.kind === 'start') {
			recordStartAnswer(run, outcome, this.#context.nowMs());
			if (outcome.kind === 'done') {
				recordBegun(run.task, this.#context);
			}
		}

		if (order.kind === 'stop') {
			if (outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason === REFUSALS.superseded)) {
				run.stopAcknowledgedOrderCount = orderCount;
			}
		} else if (run.phase === RUN_PHASES.stopping) {
			run.nextOrderAtMs = this.#context.nowMs();
			this.sendDueOrder(run);
		} else {
			this.#onStartOutcome(run, outcome, orderCount);
		}
	}

	/**
	 * Ends a run after its worker has listed the end, its absence shows it, or its worker is lost.
	 *
	 * @param run - The run.
	 * @param outcome - How it ended.
	 * @param checkpoint - Its newest checkpoint; an empty string for the newest one that was listed.
	 */
	end(run: Run, outcome: RunOutcome, checkpoint: string): void {
		const {task} = run;
		const {step} = task;
		const worker = this.#context.workers.get(run.incarnation);
		if (worker) {
			worker.runs.delete(task.name);
			recordEndedUnanswered(run, worker, this.#context.nowMs());
		}

		if (task.run === run) {
			task.run = undefined;
			task.endedAtMs = this.#context.nowMs();
		}

		this.#context.needsSchedulingRound = true;
		this.#context.log('run ended', {
			job: step.job.id, task: task.name, run: run.number, worker: run.incarnation, outcome, ranMs: Math.round(this.#context.nowMs() - (run.startedAtMs ?? run.placedAtMs)), percent: run.percent, ...(outcome !== RUN_OUTCOMES.done && !task.isDone && {lostCoreSeconds: Math.round(lostCoreSeconds(run, this.#context.nowMs()))}),
		});
		const [first] = unitOf(task);
		const changedTasks = new Set([task]);
		const newestCheckpoint = checkpoint === '' ? run.checkpoint : checkpoint;
		if (newestCheckpoint !== '' && newestCheckpoint !== first!.checkpoint) {
			first!.checkpoint = newestCheckpoint;
			changedTasks.add(first!);
		}

		let hasChangedUnit = false;
		if (outcome === RUN_OUTCOMES.done && !step.spec.isLasting) {
			if (worker) {
				recordRunSuccess(worker, run, this.#context.nowMs());
			}

			hasChangedUnit = this.#markDone(task, run.number);
		} else if (outcome === RUN_OUTCOMES.failed && !step.spec.isLasting) {
			hasChangedUnit = this.#recordFailure(task, run.number, worker, run);
		}

		if (outcome !== RUN_OUTCOMES.done && step.spec.isGang && !task.isDone) {
			this.stopUnit(run, `a member of the gang ended as ${outcome}`);
		}

		this.#storeTasks(hasChangedUnit ? unitOf(task) : [...changedTasks]);
	}

	/**
	 * Records progress and checkpoint of an expected run that its worker lists.
	 *
	 * @param run - The run.
	 * @param listed - Its entry in the list.
	 * @param asOfMs - Leader's clock when the agent received the list.
	 */
	onListed(run: Run, listed: ListedRun, asOfMs: number): void {
		const nowMs = this.#context.nowMs();
		run.knownSinceMs ??= nowMs;
		this.#markRunning(run, nowMs);
		run.percentAsOfMs = asOfMs;
		recordProgress(run, listed, nowMs);
		if (listed.checkpoint !== '' && listed.checkpoint !== run.checkpoint) {
			run.checkpoint = listed.checkpoint;
			this.#pendingCheckpoints.add(run);
		}
	}

	/**
	 * Processes the end of a run that the leader no longer expects on the worker. It still counts for its task.
	 *
	 * @param worker - The worker.
	 * @param listed - The end; not processed before.
	 */
	onLateEnd(worker: TrackedWorker, listed: ListedEnd): void {
		const task = this.#context.findTask(listed.task);
		if (!task || task.isDone || task.step.spec.isLasting) {
			return;
		}

		recordBegun(task, this.#context);
		this.#context.log('late end', {task: listed.task, run: listed.run, worker: worker.incarnation, outcome: listed.outcome});
		let hasChangedUnit = false;
		if (listed.outcome === RUN_OUTCOMES.done) {
			hasChangedUnit = this.#markDone(task, listed.run);
			for (const member of unitOf(task)) {
				if (member.run) {
					this.stop(member.run, 'done by an earlier run');
				}
			}
		} else if (listed.outcome === RUN_OUTCOMES.failed) {
			hasChangedUnit = this.#recordFailure(task, listed.run, worker);
		}

		this.#storeTasks(hasChangedUnit ? unitOf(task) : [task]);
	}

	#onStartOutcome(run: Run, outcome: OrderOutcome, orderCount: number): void {
		const nowMs = this.#context.nowMs();
		if (outcome.kind === 'done') {
			run.startAcknowledgedOrderCount = orderCount;
			this.#markRunning(run, nowMs);
			return;
		}

		if (outcome.kind === 'unknown' || (outcome.kind === 'gone' && mayHaveStarted(run))) {
			run.startUnansweredSinceMs ??= nowMs;
			if (nowMs - run.startUnansweredSinceMs >= this.#context.limits.startTimeoutMs) {
				this.stopUnit(run, 'start without an answer');
			}

			return;
		}

		const reason = outcome.kind === 'refused' ? outcome.reason : REFUSALS.unhealthy;
		if (reason === REFUSALS.late) {
			run.nextOrderAtMs = nowMs;
			return;
		}

		const worker = this.#context.workers.get(run.incarnation);
		if ((reason === REFUSALS.unhealthy || reason === REFUSALS.otherLife) && worker) {
			worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + this.#context.limits.startTimeoutMs);
		}

		this.stopUnit(run, `start refused: ${reason}`);
	}

	#markRunning(run: Run, nowMs: number): void {
		recordBegun(run.task, this.#context);
		run.startUnansweredSinceMs = undefined;
		if (run.phase === RUN_PHASES.starting) {
			run.phase = RUN_PHASES.running;
			run.startedAtMs = nowMs;
			run.progressAtMs = nowMs;
		}
	}

	/** @returns Whether the rows of all members have changed, which the first end as done of a run does. */
	#markDone(task: Task, runNumber: number): boolean {
		if (task.isDone && task.lastRunNumber >= runNumber) {
			return false;
		}

		for (const member of unitOf(task)) {
			member.isDone = true;
			// The row of a task whose stored one cannot be read gets a number, so that it can be read again.
			member.lastRunNumber = Math.max(member.lastRunNumber, runNumber);
		}

		this.#onTaskEnded(task.step.job);
		return true;
	}

	/** @returns Whether the rows of all members have changed, which the first failure of a run does. */
	#recordFailure(task: Task, runNumber: number, worker: TrackedWorker | undefined, run?: Run): boolean {
		const members = unitOf(task);
		if (members.some(member => member.lastFailedRunNumber >= runNumber)) {
			return false;
		}

		for (const member of members) {
			member.lastFailedRunNumber = runNumber;
			member.failureCount++;
		}

		if (worker) {
			task.failedWorkerIds.add(worker.facts.id);
			recordRunFailure(worker, task.step.job.id, run, this.#context);
		}

		this.#onTaskEnded(task.step.job);
		return true;
	}

	/**
	 * Stores tasks of one unit after an end. Each member of a gang ends by itself: if each end stored all members, a wide
	 * gang would keep the leader from storing any placement for many seconds.
	 */
	#storeTasks(tasks: readonly Task[]): void {
		if (tasks[0]!.step.job.isEnding) {
			return;
		}

		// A task with a run and no number has a row that cannot be read, which is kept for a leader that can read it.
		this.#context.commits.enqueue(tasks.filter(task => task.lastRunNumber > 0).map(task => encodeRunRow(task)), () => {
			this.#context.needsSchedulingRound = true;
		});
	}
}
