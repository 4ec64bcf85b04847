import {isSameShape} from './capacity.js';
import {type ListedEnd, type ListedRun, RUN_OUTCOMES, type WorkerFacts, WORKER_STATES} from './model.js';
import type {CrashLedger} from './crash-ledger.js';
import {mayHaveStarted, RUN_PHASES} from './job-model.js';
import type {PoolContext} from './pool-context.js';
import {LateStarts} from './late-starts.js';
import {findMissingEnds} from './missing-ends.js';
import {FENCE_MARGIN_MS, SLOW_CLOCK_FACTOR} from './pool-limits.js';
import {estimateRemainingMs} from './run-estimate.js';
import {type IncarnationRow, TABLES} from './rows.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {
	createTrackedWorker, hasAnnouncedEnd, startTimeOf, type TrackedWorker, workerIdOf,
} from './tracked-worker.js';
import {provesEnd, WORKER_OBSERVATIONS, type WorkerObservation} from './worker-end-evidence.js';
import {
	listStalledRuns, recordStall, shouldMove, stalledMsOf,
} from './stalled-runs.js';
import {listCrashEvidence} from './worker-crash.js';
import {WorkerListReconciler} from './worker-list-reconciler.js';

/** An agent's report on its worker. Sent to the leader under these names. */
export type AgentReport = {
	readonly facts: WorkerFacts;
	/** The worker's newest lists; absent until it has answered the agent. */
	readonly lists?: {
		readonly clockMs: number;
		/** Age of the lists on the agent's clock. */
		readonly ageMs: number;
		/** The agent's count of orders when it requested the lists. */
		readonly ordersBefore: number;
		readonly running: readonly ListedRun[];
		readonly ended: readonly ListedEnd[];
	};
};

/** Time for the stop order and the report of the end, beside the stop itself, before a draining worker leaves. */
const EVACUATION_MARGIN_MS = 300;

/** Time for which a draining worker is expected to stay when it reports no remaining time. */
const MIN_DRAINING_MS = 2000;

/** Runs of a crashed worker that are named in the log. */
const MAX_LOGGED_RUNS = 20;

/** Tracks the workers by their agents' reports, and declares silent or replaced ones lost. */
export class WorkerRegistry {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #crashes: CrashLedger;
	readonly #reconciler: WorkerListReconciler;
	readonly #lateStarts: LateStarts;

	/**
	 * @param context - State of the pool.
	 * @param runs - Ends the runs of lost workers.
	 * @param crashes - Counts the workers that crash under a task.
	 */
	constructor(context: PoolContext, runs: RunLifecycle, crashes: CrashLedger) {
		this.#context = context;
		this.#runs = runs;
		this.#crashes = crashes;
		this.#reconciler = new WorkerListReconciler(context, runs);
		this.#lateStarts = new LateStarts(context, runs);
	}

	/**
	 * Processes a report from an agent.
	 *
	 * @param agent - Name of the agent.
	 * @param report - State of its worker.
	 */
	onReport(agent: string, report: AgentReport): void {
		const {facts, lists} = report;
		const nowMs = this.#context.nowMs();
		let worker = this.#context.workers.get(facts.life);
		const isNew = worker === undefined;
		if (!worker && this.#hasLaterIncarnation(agent, report)) {
			this.#context.log('report of an earlier life', {worker: facts.life, agent});
			return;
		}

		if (!worker) {
			worker = createTrackedWorker(facts, agent, nowMs);
			this.#context.workers.set(facts.life, worker);
			this.#context.log('worker known', {worker: facts.life, agent, state: facts.state, labels: facts.labels, capacity: facts.capacity});
		}

		worker.agent = agent;
		worker.hasReported = true;
		const hasReturned = worker.isDeparting;
		worker.isDeparting = false;
		this.#declareEarlierIncarnationsLost(worker, facts);
		if (isNew) {
			this.#lateStarts.takeOverFromLeft(worker);
			// Stored after the ends on earlier incarnations: a new leader finds those by the agent's row.
			const row: IncarnationRow = {life: facts.life};
			this.#context.commits.enqueue([{table: TABLES.lives, key: agent, value: row}], () => undefined);
		}

		this.#updateFacts(worker, facts, nowMs);
		if (hasReturned && worker.drainingSinceMs !== undefined) {
			// It has deregistered as planned and ends soon, so it has no time left for its runs.
			this.#evacuate(worker, nowMs, nowMs);
		}

		if (!lists) {
			return;
		}

		if (!worker.hasReportedLists || worker.isLost) {
			this.#context.log('worker lists read', {worker: worker.incarnation, running: lists.running.length, ended: lists.ended.length, ageMs: lists.ageMs});
			worker.hasReportedLists = true;
			this.#context.needsSchedulingRound = true;
		}

		worker.listsAsOfMs = nowMs - lists.ageMs;
		worker.workerClockMs = Math.max(worker.workerClockMs, lists.clockMs);
		worker.orderCountBeforeLists = lists.ordersBefore;
		if (lists.ageMs < this.#context.limits.suspectTimeoutMs) {
			// An earlier leader may have declared it lost.
			this.#crashes.withdraw(worker.incarnation);
			this.#clearSuspicion(worker);
		}

		const ended = lists.ended.toSorted((left, right) => left.sequence - right.sequence);
		this.#logMissingEnds(worker, ended);
		for (const end of ended) {
			if (end.sequence > worker.processedSequence) {
				worker.processedSequence = end.sequence;
				this.#reconciler.onListedEnd(worker, end);
			}
		}

		this.#reconciler.reconcile(worker, {running: lists.running, endCount: lists.ended.length});
	}

	/**
	 * Processes an agent's statement that a worker has deregistered and does not answer any more. It may still be at work, so
	 * its runs end once its lease has expired, unless another incarnation or the worker's own lists come first. The
	 * statement is repeated with each report of the agent.
	 *
	 * @param incarnation - Its incarnation.
	 */
	onWorkerDeparting(incarnation: string): void {
		const worker = this.#context.workers.get(incarnation);
		if (!worker) {
			return;
		}

		this.#crashes.withdraw(incarnation);
		if (!worker.isDeparting) {
			worker.isDeparting = true;
			this.#context.log('worker departing', {worker: incarnation, runs: worker.runs.size});
			for (const run of worker.runs.values()) {
				if (!mayHaveStarted(run)) {
					this.#runs.stopUnit(run, 'worker is departing');
				}
			}
		}

		if (worker.runs.size === 0) {
			this.#onEndEvidence(worker, WORKER_OBSERVATIONS.departedIdle);
			this.#removeWorker(worker);
			this.#lateStarts.recordLeft(worker);
		} else {
			this.#onEndEvidence(worker, WORKER_OBSERVATIONS.departing);
		}
	}

	/**
	 * Tracks a worker that is named in stored runs, before it has reported.
	 *
	 * @param incarnation - The worker's incarnation.
	 * @param agent - Name of its agent, or an empty string when it is not known.
	 * @returns The worker; the tracked one if it is known already.
	 */
	trackUnreported(incarnation: string, agent: string): TrackedWorker {
		const trackedWorker = this.#context.workers.get(incarnation);
		if (trackedWorker) {
			return trackedWorker;
		}

		const worker = createTrackedWorker({
			life: incarnation, id: workerIdOf(incarnation), service: '', failureDomain: '', state: WORKER_STATES.ready, capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0}, labels: [],
		}, agent, this.#context.nowMs());
		this.#context.workers.set(incarnation, worker);
		return worker;
	}

	/** Suspects silent workers, declares them lost once their lease has expired, and moves work off draining or stalled ones. */
	tick(): void {
		const nowMs = this.#context.nowMs();
		for (const worker of this.#context.workers.values()) {
			this.#lateStarts.sendDueStops(worker);
			if (worker.leavesAtMs !== undefined) {
				this.#evacuate(worker, worker.leavesAtMs, nowMs);
			}

			if (worker.isLost || nowMs - worker.listsAsOfMs < this.#context.limits.suspectTimeoutMs) {
				this.#handleStalledRuns(worker, nowMs);
				continue;
			}

			const {leaseExpiresAtMs = Number.POSITIVE_INFINITY} = worker.suspicion ?? {};
			this.#onEndEvidence(worker, nowMs < leaseExpiresAtMs ? WORKER_OBSERVATIONS.silent : WORKER_OBSERVATIONS.leaseExpired);
		}
	}

	/**
	 * Someone else has acknowledged these ends: shortly after a takeover the earlier leader, otherwise nobody who may. A run
	 * whose end nobody has read vanishes and is started again, even if it was done.
	 */
	#logMissingEnds(worker: TrackedWorker, ended: readonly ListedEnd[]): void {
		const missing = findMissingEnds(worker, ended);
		if (missing && !worker.hasMissingEnds) {
			this.#context.log('ends missing', {worker: worker.incarnation, ...missing});
		}

		worker.hasMissingEnds = missing !== undefined;
	}

	/** Ends the runs of a worker if the observation proves that they have ended; otherwise lets its lease expire. */
	#onEndEvidence(worker: TrackedWorker, observation: WorkerObservation, next?: TrackedWorker): void {
		if (provesEnd(observation)) {
			this.#declareLost(worker, observation, next);
		} else if (!worker.suspicion) {
			this.#suspect(worker, this.#context.nowMs());
		}
	}

	#suspect(worker: TrackedWorker, nowMs: number): void {
		const suspicion = {sinceMs: nowMs};
		worker.suspicion = suspicion;
		this.#context.log('worker suspected', {worker: worker.incarnation, silentMs: Math.round(nowMs - worker.listsAsOfMs), runs: worker.runs.size});
		const {leaseMs, maxLeaseMs, deposedLeaderGraceMs} = this.#context.limits;
		this.#context.commits.enqueue([{table: TABLES.suspects, key: worker.incarnation, value: {}}], () => {
			if (worker.suspicion === suspicion) {
				// Also for a worker whose agent has accepted this leader: an agent that starts again knows no epoch.
				const fromMs = Math.max(this.#context.nowMs(), this.#context.takenOverAtMs + deposedLeaderGraceMs);
				const lateLeaseEndMs = worker.lateCallsUntilMs === undefined ? 0 : worker.lateCallsUntilMs + (maxLeaseMs * SLOW_CLOCK_FACTOR);
				worker.suspicion = {sinceMs: nowMs, leaseExpiresAtMs: Math.max(fromMs + (leaseMs * SLOW_CLOCK_FACTOR), lateLeaseEndMs) + FENCE_MARGIN_MS};
			}
		});
	}

	#clearSuspicion(worker: TrackedWorker): void {
		if (!worker.suspicion && !worker.isLost) {
			return;
		}

		this.#context.log('worker regained', {worker: worker.incarnation, runs: worker.runs.size});
		worker.suspicion = undefined;
		worker.isLost = false;
		this.#context.needsSchedulingRound = true;
		this.#context.commits.enqueue([{table: TABLES.suspects, key: worker.incarnation, value: undefined}], () => undefined);
	}

	/**
	 * An agent's VM has one worker, so when another incarnation is taken there, those that the agent reported before have ended,
	 * whatever their start times: the time of day may have been set back. So have earlier ones with the same id.
	 */
	#declareEarlierIncarnationsLost(worker: TrackedWorker, facts: WorkerFacts): void {
		for (const other of this.#context.workers.values()) {
			const isOnSameVm = other.agent === worker.agent;
			const isEarlier = startTimeOf(other.incarnation) < startTimeOf(facts.life);
			if (other !== worker && ((isOnSameVm && other.hasReported) || (isEarlier && (isOnSameVm || other.facts.id === facts.id)))) {
				this.#declareCrashed(other, worker);
			}
		}
	}

	/** An incarnation that neither drained nor deregistered before the next one has crashed. */
	#declareCrashed(worker: TrackedWorker, next: TrackedWorker): void {
		const hasCrashed = !hasAnnouncedEnd(worker);
		if (hasCrashed) {
			this.#logCrash(worker, next.facts);
		}

		this.#onEndEvidence(worker, WORKER_OBSERVATIONS.replaced, next);
		this.#lateStarts.takeOver(worker, next);
		this.#removeWorker(worker);
		if (worker.facts.id !== next.facts.id) {
			this.#lateStarts.recordLeft(worker);
		}

		if (hasCrashed) {
			this.#crashes.confirm(worker.incarnation);
		}
	}

	#logCrash(worker: TrackedWorker, next: WorkerFacts): void {
		const evidence = listCrashEvidence(worker);
		const runs = [...worker.runs.values()].map(run => ({task: run.task.name, run: run.number, evidence: evidence.get(run) ?? 'none'}));
		this.#context.log('worker crashed', {
			worker: worker.incarnation, next: next.life, silentMs: Math.round(this.#context.nowMs() - worker.listsAsOfMs), runs: runs.length, suspects: runs.slice(0, MAX_LOGGED_RUNS),
		});
	}

	/**
	 * Rows that name a later incarnation don't show that there is one, since another program may have written them. Nor does
	 * an agent's earlier report once the worker itself has answered as another incarnation.
	 */
	#hasLaterIncarnation(agent: string, {facts, lists}: AgentReport): boolean {
		const hasAnswered = lists !== undefined && lists.ageMs < this.#context.limits.suspectTimeoutMs;
		return [...this.#context.workers.values()].some(other => {
			const mayBeLater = other.agent === agent ? !hasAnswered : other.facts.id === facts.id;
			return other.hasReported && mayBeLater && startTimeOf(other.incarnation) > startTimeOf(facts.life);
		});
	}

	#updateFacts(worker: TrackedWorker, facts: WorkerFacts, nowMs: number): void {
		if (facts.state === WORKER_STATES.draining) {
			if (worker.drainingSinceMs === undefined) {
				worker.drainingSinceMs = nowMs;
				this.#context.needsSchedulingRound = true;
				this.#context.log('worker draining', {worker: worker.incarnation, remainingMs: facts.remainingMs ?? 'unknown', runs: worker.runs.size});
			}

			worker.leavesAtMs = Math.max(worker.leavesAtMs ?? 0, facts.remainingMs === undefined ? worker.drainingSinceMs + MIN_DRAINING_MS : nowMs + facts.remainingMs);
		} else {
			worker.drainingSinceMs = undefined;
			worker.leavesAtMs = undefined;
		}

		this.#recordCapacity(worker, facts);
		worker.facts = facts;
	}

	#recordCapacity(worker: TrackedWorker, {capacity}: WorkerFacts): void {
		const previous = worker.facts.capacity;
		if (worker.hasReportedLists && !isSameShape(capacity, previous)) {
			this.#context.needsSchedulingRound = true;
			this.#context.log('worker capacity changed', {
				worker: worker.incarnation, capacity, previous, runs: worker.runs.size,
			});
		}
	}

	/** Moves runs that cannot end before the worker leaves: at once, or just before it leaves if they write checkpoints. */
	#evacuate(worker: TrackedWorker, leavesAtMs: number, nowMs: number): void {
		const remainingMs = leavesAtMs - nowMs;
		const mustStopNow = remainingMs < this.#context.limits.stopTimeoutMs + EVACUATION_MARGIN_MS;
		for (const run of worker.runs.values()) {
			const {isCheckpointing} = run.task.step.spec;
			const mustMove = estimateRemainingMs(run, nowMs) > remainingMs;
			if (mustMove && !run.task.isDone && (!isCheckpointing || mustStopNow)) {
				this.#runs.stopUnit(run, 'worker is leaving');
			}
		}
	}

	/** Quarantines a worker on which all runs are stalled, and moves its runs. */
	#handleStalledRuns(worker: TrackedWorker, nowMs: number): void {
		for (const run of listStalledRuns(worker, this.#context.limits)) {
			const stalledMs = stalledMsOf(run, worker);
			if (!run.isStalled) {
				run.isStalled = true;
				this.#context.log('run stalled', {
					job: run.task.step.job.id, task: run.task.name, run: run.number, worker: worker.incarnation, percent: run.percent, stalledMs: Math.round(stalledMs),
				});
			}

			worker.unreliableSinceMs = nowMs;
			worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + this.#context.limits.stallTimeoutMs);
			// A gang stops as a whole, so a member may be stopping already.
			if (run.phase === RUN_PHASES.running && shouldMove(run, stalledMs)) {
				recordStall(run);
				this.#runs.stopUnit(run, 'worker makes no progress');
			}
		}
	}

	/** An incarnation that is known to have ended needs no row in the suspects table, which keeps its lease from being renewed. */
	#removeWorker(worker: TrackedWorker): void {
		this.#context.workers.delete(worker.incarnation);
		if (worker.suspicion) {
			this.#context.commits.enqueueRemovals([{table: TABLES.suspects, key: worker.incarnation}], () => undefined);
		}
	}

	#declareLost(worker: TrackedWorker, reason: WorkerObservation, next?: TrackedWorker): void {
		this.#context.log('worker given up', {worker: worker.incarnation, reason, runs: worker.runs.size});
		worker.isLost = true;
		this.#context.needsSchedulingRound = true;
		if (!hasAnnouncedEnd(worker)) {
			this.#crashes.recordLoss(worker);
		}

		for (const run of worker.runs.values()) {
			if (!next || !this.#lateStarts.keep(run, next)) {
				this.#runs.end(run, RUN_OUTCOMES.lapsed, '');
			}
		}
	}
}
