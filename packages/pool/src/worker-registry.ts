import {type ListedEnd, type ListedRun, RUN_OUTCOMES, type WorkerFacts, WORKER_STATES} from './model.js';
import type {PoolContext} from './pool-context.js';
import {FENCE_MARGIN_MS, SLOW_CLOCK_FACTOR} from './pool-limits.js';
import {estimateRemainingMs, estimateTotalMs} from './run-estimate.js';
import {type LifeRow, TABLES} from './rows.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {createWorkerEntry, type WorkerEntry} from './tracked-worker.js';
import {listStalledRuns, stalledMsOf} from './worker-quarantine.js';
import {WorkerListReader} from './worker-list-reconciler.js';

/** What an agent tells its leader about its worker. */
export type AgentReport = {
	readonly facts: WorkerFacts;
	/** What the worker listed last; absent until it has answered. */
	readonly lists?: {
		readonly clockMs: number;
		/** Age of the lists on the agent's clock. */
		readonly ageMs: number;
		/** The agent's count of orders when the lists were asked for. */
		readonly ordersBefore: number;
		readonly running: readonly ListedRun[];
		readonly ended: readonly ListedEnd[];
	};
};

/** Time that a stop and a placement elsewhere need before a draining worker leaves. */
const EVACUATION_MARGIN_MS = 700;

/** Time for which a draining worker stays where it does not tell. */
const DEFAULT_REMAINING_MS = 2000;

/** Keeps what is known of the workers, and gives up those that are gone. */
export class WorkerRegistry {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #lists: WorkerListReader;

	/**
	 * @param context - State of the pool.
	 * @param runs - Ends the runs of workers that are gone.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
		this.#lists = new WorkerListReader(context, runs);
	}

	/**
	 * Takes a report from an agent.
	 *
	 * @param agent - Name of the agent.
	 * @param report - What it says of its worker.
	 */
	onReport(agent: string, report: AgentReport): void {
		const {facts, lists} = report;
		const nowMs = this.#context.nowMs();
		let worker = this.#context.workers.get(facts.life);
		if (!worker && this.#hasLaterLife(agent, facts)) {
			this.#context.log('report of an earlier life', {worker: facts.life, agent});
			return;
		}

		if (!worker) {
			worker = createWorkerEntry(facts, agent, nowMs);
			this.#context.workers.set(facts.life, worker);
			const row: LifeRow = {life: facts.life};
			this.#context.commits.enqueue([{table: TABLES.lives, key: agent, value: row}], () => undefined);
			this.#context.log('worker known', {worker: facts.life, agent, state: facts.state, labels: facts.labels, capacity: facts.capacity});
		}

		worker.agent = agent;
		this.#giveUpEarlierLives(worker, facts);
		this.#noteFacts(worker, facts, nowMs);
		if (!lists) {
			return;
		}

		if (!worker.isKnown || worker.isLost) {
			this.#context.log('worker lists read', {worker: worker.life, running: lists.running.length, ended: lists.ended.length, ageMs: lists.ageMs});
			worker.isKnown = true;
			this.#context.needsRound = true;
		}

		worker.lastContactMs = nowMs - lists.ageMs;
		worker.clockMs = Math.max(worker.clockMs, lists.clockMs);
		worker.ordersBefore = lists.ordersBefore;
		if (lists.ageMs < this.#context.limits.suspectAfterMs) {
			this.#clearSuspicion(worker);
		}

		for (const end of lists.ended.toSorted((left, right) => left.sequence - right.sequence)) {
			if (end.sequence > worker.seenSequence) {
				worker.seenSequence = end.sequence;
				this.#lists.onListedEnd(worker, end);
			}
		}

		this.#lists.reconcile(worker, lists.running);
	}

	/**
	 * Takes the news that a life of a worker has ended in an orderly way.
	 *
	 * @param life - The life.
	 */
	onLeft(life: string): void {
		const worker = this.#context.workers.get(life);
		if (worker) {
			this.#giveUp(worker, 'left');
			this.#forget(worker);
		}
	}

	/**
	 * Makes an entry for a worker that stored runs name, before it has reported.
	 *
	 * @param life - The life.
	 * @param agent - Name of its agent, or an empty text when it is not known.
	 * @returns The entry.
	 */
	expect(life: string, agent: string): WorkerEntry {
		const known = this.#context.workers.get(life);
		if (known) {
			return known;
		}

		const worker = createWorkerEntry({
			life, id: life.split('@')[0]!, service: '', failureDomain: '', state: WORKER_STATES.ready, capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0}, labels: [],
		}, agent, this.#context.nowMs());
		this.#context.workers.set(life, worker);
		return worker;
	}

	/** Marks silent workers as suspected, gives up those whose lease has passed, and empties leaving ones. */
	tick(): void {
		const nowMs = this.#context.nowMs();
		for (const worker of this.#context.workers.values()) {
			if (worker.leavesAtMs !== undefined) {
				this.#evacuate(worker, worker.leavesAtMs, nowMs);
			}

			if (worker.isLost || nowMs - worker.lastContactMs < this.#context.limits.suspectAfterMs) {
				this.#moveStalled(worker, nowMs);
				continue;
			}

			if (!worker.suspicion) {
				this.#suspect(worker, nowMs);
			} else if (worker.suspicion.fencedAtMs !== undefined && nowMs >= worker.suspicion.fencedAtMs) {
				this.#giveUp(worker, 'silent until its lease passed');
			}
		}
	}

	#suspect(worker: WorkerEntry, nowMs: number): void {
		const suspicion = {sinceMs: nowMs};
		worker.suspicion = suspicion;
		this.#context.log('worker suspected', {worker: worker.life, silentMs: Math.round(nowMs - worker.lastContactMs), runs: worker.runs.size});
		const {leaseMs, deposedLeaderMs} = this.#context.limits;
		this.#context.commits.enqueue([{table: TABLES.suspects, key: worker.life, value: {}}], () => {
			if (worker.suspicion === suspicion) {
				const fromMs = Math.max(this.#context.nowMs(), worker.isKnown ? 0 : this.#context.sinceMs + deposedLeaderMs);
				worker.suspicion = {sinceMs: nowMs, fencedAtMs: fromMs + (leaseMs * SLOW_CLOCK_FACTOR) + FENCE_MARGIN_MS};
			}
		});
	}

	#clearSuspicion(worker: WorkerEntry): void {
		if (!worker.suspicion && !worker.isLost) {
			return;
		}

		this.#context.log('worker regained', {worker: worker.life, runs: worker.runs.size});
		worker.suspicion = undefined;
		worker.isLost = false;
		this.#context.needsRound = true;
		this.#context.commits.enqueue([{table: TABLES.suspects, key: worker.life, value: undefined}], () => undefined);
	}

	/** An agent's VM has one worker, so a later life there, or under the same id, ends the earlier ones. */
	#giveUpEarlierLives(worker: WorkerEntry, facts: WorkerFacts): void {
		for (const other of this.#context.workers.values()) {
			const isSameWorker = other.facts.id === facts.id || other.agent === worker.agent;
			if (other !== worker && isSameWorker && bornOf(other.life) < bornOf(facts.life)) {
				this.#giveUp(other, 'a new life of the worker has reported');
				this.#forget(other);
			}
		}
	}

	#hasLaterLife(agent: string, facts: WorkerFacts): boolean {
		return [...this.#context.workers.values()].some(other => (other.agent === agent || other.facts.id === facts.id) && bornOf(other.life) > bornOf(facts.life));
	}

	#noteFacts(worker: WorkerEntry, facts: WorkerFacts, nowMs: number): void {
		if (facts.state === WORKER_STATES.draining) {
			if (worker.drainingSinceMs === undefined) {
				worker.drainingSinceMs = nowMs;
				this.#context.needsRound = true;
				this.#context.log('worker draining', {worker: worker.life, remainingMs: facts.remainingMs ?? 'unknown', runs: worker.runs.size});
			}

			worker.leavesAtMs = Math.max(worker.leavesAtMs ?? 0, worker.drainingSinceMs + DEFAULT_REMAINING_MS, facts === worker.facts ? 0 : nowMs + (facts.remainingMs ?? 0));
		} else {
			worker.drainingSinceMs = undefined;
			worker.leavesAtMs = undefined;
		}

		worker.facts = facts;
	}

	/** Moves work that cannot end before the worker leaves: at once, or with a checkpoint at the last moment. */
	#evacuate(worker: WorkerEntry, leavesAtMs: number, nowMs: number): void {
		const leftMs = leavesAtMs - nowMs;
		for (const run of worker.runs.values()) {
			const {isCheckpointing} = run.task.step.spec;
			const mustMove = estimateRemainingMs(run, nowMs) > leftMs;
			if (mustMove && !run.task.isDone && (!isCheckpointing || leftMs < EVACUATION_MARGIN_MS)) {
				this.#runs.stopUnit(run, 'worker is leaving');
			}
		}
	}

	/**
	 * Keeps new work away from a worker on which nothing goes on, and moves what is there. How long it will stand
	 * still is unknown, so a run moves once it has stood still for as long as its work would take again.
	 */
	#moveStalled(worker: WorkerEntry, nowMs: number): void {
		for (const run of listStalledRuns(worker, this.#context.limits)) {
			const stalledMs = stalledMsOf(run, worker);
			if (!run.isStalled) {
				run.isStalled = true;
				this.#context.log('run stalled', {
					job: run.task.step.job.id, task: run.task.name, run: run.number, worker: worker.life, percent: run.percent, stalledMs: Math.round(stalledMs),
				});
			}

			worker.doubtedSinceMs = nowMs;
			worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + this.#context.limits.stallMs);
			const isSaved = run.task.step.spec.isCheckpointing;
			if (isSaved || stalledMs >= estimateTotalMs(run, run.progressAtMs) * run.percent / 100) {
				this.#runs.stopUnit(run, 'worker makes no progress');
			}
		}
	}

	/** A life that is known to have ended needs no mark against its lease any more. */
	#forget(worker: WorkerEntry): void {
		this.#context.workers.delete(worker.life);
		if (worker.suspicion) {
			this.#context.commits.enqueueRemovals([{table: TABLES.suspects, key: worker.life}], () => undefined);
		}
	}

	#giveUp(worker: WorkerEntry, reason: string): void {
		this.#context.log('worker given up', {worker: worker.life, reason, runs: worker.runs.size});
		worker.isLost = true;
		this.#context.needsRound = true;
		for (const run of worker.runs.values()) {
			this.#runs.end(run, RUN_OUTCOMES.lapsed, '');
		}
	}
}

/** @returns The start of a life, as Unix time in milliseconds. */
function bornOf(life: string): number {
	return Number(life.split('@')[1] ?? 0);
}
