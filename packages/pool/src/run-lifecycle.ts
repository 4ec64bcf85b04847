import {
	createRun, type Job, type Run, type Task, RUN_PHASES, unitOf,
} from './job-model.js';
import {
	type ListedEnd, type ListedRun, type OrderOutcome, REFUSALS, RUN_OUTCOMES, type RunOutcome, type WorkerOrder,
} from './model.js';
import {lostCoreSeconds} from './lost-work.js';
import type {PoolContext} from './pool-context.js';
import type {RowWrite} from './ports.js';
import {type RunRow, TABLES} from './rows.js';
import type {WorkerEntry} from './tracked-worker.js';
import {noteRunFailure, noteRunSuccess} from './worker-quarantine.js';

/** Weight of a new observation of a worker's slowness. */
const SLOWNESS_SMOOTHING = 0.5;

/** Starts, stops and ends the runs of tasks. */
export class RunLifecycle {
	readonly #context: PoolContext;
	readonly #onTaskEnded: (job: Job) => void;
	readonly #unstoredCheckpoints = new Set<Run>();

	/**
	 * @param context - State of the pool.
	 * @param onTaskEnded - Called when a task of the job is done or has failed.
	 */
	constructor(context: PoolContext, onTaskEnded: (job: Job) => void) {
		this.#context = context;
		this.#onTaskEnded = onTaskEnded;
	}

	/**
	 * Starts a task, or all members of a gang, once the decision is stored.
	 *
	 * @param tasks - The task or the members of the gang.
	 * @param lives - The worker's life for each.
	 */
	start(tasks: readonly Task[], lives: readonly string[]): void {
		const nowMs = this.#context.nowMs();
		const number = Math.max(...tasks.map(task => task.lastRun)) + 1;
		const runs = tasks.map((task, index) => {
			const run = createRun(task, {number, life: lives[index]!, phase: RUN_PHASES.recording, nowMs});
			task.lastRun = number;
			task.run = run;
			this.#context.workers.get(run.life)!.runs.set(task.name, run);
			return run;
		});
		const [first] = tasks;
		this.#context.log('task placed', {
			job: first!.step.job.id, task: first!.name, members: tasks.length, run: number, workers: lives, waitedMs: Math.round(nowMs - (first!.step.readyAtMs ?? nowMs)),
		});
		this.#context.commits.enqueue(tasks.map(task => this.#rowOf(task)), () => {
			for (const run of runs) {
				if (run.phase === RUN_PHASES.recording) {
					run.phase = RUN_PHASES.starting;
					this.sendDueOrder(run);
				}
			}
		});
	}

	/**
	 * Stops a run; it keeps its room until its end is known.
	 *
	 * @param run - The run.
	 * @param reason - For the log.
	 */
	stop(run: Run, reason: string): void {
		if (run.phase === RUN_PHASES.stopping) {
			return;
		}

		this.#context.log('run stopping', {job: run.task.step.job.id, task: run.task.name, run: run.number, worker: run.life, reason});
		run.phase = RUN_PHASES.stopping;
		run.nextOrderAtMs = this.#context.nowMs();
		if (!run.wasOrdered) {
			// No start has been sent, so there is nothing at the worker to stop.
			this.end(run, RUN_OUTCOMES.stopped, '');
			return;
		}

		this.sendDueOrder(run);
	}

	/**
	 * Stores the checkpoints that runs have written since the last call, so that work survives the loss of
	 * its worker and of the leader together.
	 */
	storeCheckpoints(): void {
		const rows = new Map<string, RowWrite>();
		for (const run of this.#unstoredCheckpoints) {
			if (run.task.run !== run || run.task.isDone || run.task.step.job.isEnding || run.phase === RUN_PHASES.stopping) {
				continue;
			}

			// Any member's checkpoint serves the whole gang, and all members have to continue from the same one.
			const [first] = unitOf(run.task);
			first!.checkpoint = run.checkpoint;
			rows.set(first!.name, this.#rowOf(first!));
		}

		this.#unstoredCheckpoints.clear();
		for (const row of rows.values()) {
			this.#context.commits.enqueue([row], () => undefined);
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
	 * Sends the order that a run's phase asks for, if it is due.
	 *
	 * @param run - The run.
	 */
	sendDueOrder(run: Run): void {
		const worker = this.#context.workers.get(run.life);
		const nowMs = this.#context.nowMs();
		if (!worker || run.isOrderUnderWay || run.nextOrderAtMs > nowMs) {
			return;
		}

		if (run.phase === RUN_PHASES.starting && worker.isKnown && !worker.suspicion) {
			run.isOrderUnderWay = true;
			run.wasOrdered = true;
			this.#context.send({
				agent: worker.agent,
				life: run.life,
				order: {
					kind: 'start',
					task: run.task.name,
					run: run.number,
					payload: run.task.step.job.spec!.payload,
					leaseUntilMs: Math.floor(worker.clockMs + this.#context.limits.leaseMs),
					checkpoint: run.startCheckpoint,
				},
			});
		} else if (run.phase === RUN_PHASES.stopping && run.stopAcknowledgedAtOrder === undefined) {
			run.isOrderUnderWay = true;
			this.#context.send({agent: worker.agent, life: run.life, order: {kind: 'stop', task: run.task.name, run: run.number}});
		}
	}

	/**
	 * Takes the outcome of an order.
	 *
	 * @param life - The worker's life that the order was for.
	 * @param order - The order.
	 * @param outcome - What became of it.
	 * @param orderCount - The agent's count of orders after this one.
	 */
	onOrderOutcome(life: string, order: WorkerOrder, outcome: OrderOutcome, orderCount: number): void {
		const run = this.#context.workers.get(life)?.runs.get(order.task);
		this.#context.log('order answered', {
			task: order.task, run: order.run, worker: life, order: order.kind, outcome,
		});
		if (outcome.kind === 'refused' && outcome.reason === REFUSALS.fenced) {
			this.#context.isFenced = true;
			return;
		}

		if (run?.number !== order.run) {
			return;
		}

		run.isOrderUnderWay = false;
		run.nextOrderAtMs = this.#context.nowMs() + this.#context.limits.orderRetryMs;
		if (order.kind === 'stop') {
			if (outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason === REFUSALS.superseded)) {
				run.stopAcknowledgedAtOrder = orderCount;
			}
		} else if (run.phase === RUN_PHASES.stopping) {
			run.nextOrderAtMs = this.#context.nowMs();
			this.sendDueOrder(run);
		} else {
			this.#onStartOutcome(run, outcome, orderCount);
		}
	}

	/**
	 * Takes the end of a run, as listed by its worker or concluded from its absence.
	 *
	 * @param run - The run.
	 * @param outcome - How it ended.
	 * @param checkpoint - Newest checkpoint, or an empty string.
	 */
	end(run: Run, outcome: RunOutcome, checkpoint: string): void {
		const {task} = run;
		const {step} = task;
		const worker = this.#context.workers.get(run.life);
		worker?.runs.delete(task.name);
		if (task.run === run) {
			task.run = undefined;
			task.endedAtMs = this.#context.nowMs();
		}

		this.#context.needsRound = true;
		this.#context.log('run ended', {
			job: step.job.id, task: task.name, run: run.number, worker: run.life, outcome, ranMs: Math.round(this.#context.nowMs() - (run.startedAtMs ?? run.placedAtMs)), percent: run.percent, ...(outcome !== RUN_OUTCOMES.done && !task.isDone && {lostCoreSeconds: Math.round(lostCoreSeconds(run, this.#context.nowMs()))}),
		});
		const saved = checkpoint === '' ? run.checkpoint : checkpoint;
		if (saved !== '') {
			unitOf(task)[0]!.checkpoint = saved;
		}

		if (outcome === RUN_OUTCOMES.done && !step.spec.isLasting) {
			this.#noteSuccess(run, worker);
			this.#markDone(task);
		} else if (outcome === RUN_OUTCOMES.failed && !step.spec.isLasting) {
			this.#noteFailure(task, run.number, worker, run);
		}

		if (outcome !== RUN_OUTCOMES.done && step.spec.isGang && !task.isDone) {
			this.stopUnit(run, `a member of the gang ended as ${outcome}`);
		}

		this.#store(task);
	}

	/**
	 * Takes what a worker lists of a run that is expected there.
	 *
	 * @param run - The run.
	 * @param entry - Its entry in the list.
	 */
	noteListed(run: Run, entry: ListedRun): void {
		const nowMs = this.#context.nowMs();
		run.wasOrdered = true;
		this.#confirm(run, nowMs);
		if (entry.percent !== run.percent) {
			run.percent = entry.percent;
			run.progressAtMs = nowMs;
			run.isStalled = false;
		}

		if (entry.checkpoint !== '' && entry.checkpoint !== run.checkpoint) {
			run.checkpoint = entry.checkpoint;
			run.savedAtMs = nowMs;
			this.#unstoredCheckpoints.add(run);
		}
	}

	/**
	 * Takes the end of a run that is not expected at its worker any more. It counts all the same.
	 *
	 * @param worker - The worker.
	 * @param listed - The end; not seen before.
	 */
	onStaleEnd(worker: WorkerEntry, listed: ListedEnd): void {
		const task = this.#context.findTask(listed.task);
		if (!task || task.isDone || task.step.spec.isLasting) {
			return;
		}

		this.#context.log('late end', {task: listed.task, run: listed.run, worker: worker.life, outcome: listed.outcome});
		if (listed.outcome === RUN_OUTCOMES.done) {
			this.#markDone(task);
			for (const member of unitOf(task)) {
				if (member.run) {
					this.stop(member.run, 'done by an earlier run');
				}
			}
		} else if (listed.outcome === RUN_OUTCOMES.failed) {
			this.#noteFailure(task, listed.run, worker);
		}

		this.#store(task);
	}

	#onStartOutcome(run: Run, outcome: OrderOutcome, orderCount: number): void {
		const nowMs = this.#context.nowMs();
		if (outcome.kind === 'done') {
			run.startConfirmedAtOrder = orderCount;
			this.#confirm(run, nowMs);
			return;
		}

		if (outcome.kind === 'unknown' || outcome.kind === 'gone') {
			run.unansweredSinceMs ??= nowMs;
			if (nowMs - run.unansweredSinceMs >= this.#context.limits.startGiveUpMs) {
				this.stopUnit(run, 'start without an answer');
			}

			return;
		}

		if (outcome.reason === REFUSALS.late) {
			run.nextOrderAtMs = nowMs;
			return;
		}

		const worker = this.#context.workers.get(run.life);
		if (outcome.reason === REFUSALS.unhealthy && worker) {
			worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + this.#context.limits.startGiveUpMs);
		}

		this.stopUnit(run, `start refused: ${outcome.reason}`);
	}

	#confirm(run: Run, nowMs: number): void {
		run.unansweredSinceMs = undefined;
		if (run.phase === RUN_PHASES.starting) {
			run.phase = RUN_PHASES.running;
			run.startedAtMs = nowMs;
			run.progressAtMs = nowMs;
			run.savedAtMs = nowMs;
		}
	}

	#markDone(task: Task): void {
		for (const member of unitOf(task)) {
			member.isDone = true;
		}

		this.#onTaskEnded(task.step.job);
	}

	#noteSuccess(run: Run, worker: WorkerEntry | undefined): void {
		if (!worker) {
			return;
		}

		noteRunSuccess(worker, run);
		const ranMs = this.#context.nowMs() - (run.startedAtMs ?? run.placedAtMs);
		const {estimatedMs} = run.task.step.spec;
		if (estimatedMs > 0) {
			worker.slowness += SLOWNESS_SMOOTHING * (Math.min(ranMs / estimatedMs, 4) - worker.slowness);
		}
	}

	#noteFailure(task: Task, runNumber: number, worker: WorkerEntry | undefined, run?: Run): void {
		const members = unitOf(task);
		if (members.some(member => member.lastFailedRun >= runNumber)) {
			return;
		}

		for (const member of members) {
			member.lastFailedRun = runNumber;
			member.failures++;
		}

		if (worker) {
			task.failedOn.add(worker.facts.id);
			noteRunFailure(worker, task.step.job.id, run, this.#context);
		}

		this.#onTaskEnded(task.step.job);
	}

	#store(task: Task): void {
		if (task.step.job.isEnding) {
			return;
		}

		this.#context.commits.enqueue(unitOf(task).map(member => this.#rowOf(member)), () => {
			this.#context.needsRound = true;
		});
	}

	#rowOf(task: Task): RowWrite {
		const row: RunRow = {
			run: task.lastRun,
			...(task.run && {life: task.run.life}),
			...(task.isDone && {isDone: true}),
			...(task.failures > 0 && {failures: task.failures}),
			...(task.checkpoint !== '' && {checkpoint: task.checkpoint}),
		};
		return {table: TABLES.runs, key: task.name, value: row};
	}
}
