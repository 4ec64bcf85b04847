import {
	addShapes, EMPTY_SHAPE, subtractShapes, weightInCores,
} from './capacity.js';
import {CrashExposure} from './crash-exposure.js';
import type {EvacuationLog} from './evacuation-log.js';
import {type ExpectedRelease, findEarliestStart, orderReleases} from './earliest-start.js';
import {Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {IdleServices} from './idle-services.js';
import {RUN_PHASES, type StepState} from './job-model.js';
import {type TaskShape, WORKER_STATES} from './model.js';
import {listPendingUnits, type PendingUnit, PUNCTUALITY} from './pending-units.js';
import {type PlacementRequest, placeUnit, type CandidateWorker} from './placement.js';
import type {PoolContext} from './pool-context.js';
import {planPreemption} from './preemption.js';
import {estimateRemainingMs} from './run-estimate.js';
import {InterferenceExposure} from './interference/interference-exposure.js';
import {
	allocate, groupByService, isHalfIdle, type RoundWorker,
} from './round-worker.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {SpeedPreference} from './speed-preference.js';
import {countRunsOfStep, findWorkerOfStep} from './step-runs.js';
import {listVictims} from './victims.js';
import {
	freeCapacity, rackOf, type TrackedWorker, workerIdOf,
} from './tracked-worker.js';
import {isUnreliable} from './worker-quarantine.js';

/** A task waits for capacity near its data for this share of the extra time that it would take elsewhere. */
const REMOTE_WAIT_SHARE = 0.5;

/** An urgent task waits for capacity near its data or on a reliable worker for this share of the bound on guaranteed starts. */
const URGENT_WAIT_SHARE = 0.25;

/**
 * The same share for steps that prefer one rack: spread over several racks they would certainly be late, and half of
 * the bound leaves time for preemption.
 */
const URGENT_RACK_WAIT_SHARE = 0.5;

/** Stays below 3 s, which a job must not wait while half of the pool is idle, and a lasting task must never wait. */
const MAX_IDLE_POOL_WAIT_MS = 2000;

/** Longest wait for a worker without a task that has crashed others, or of such a task for a worker of its own; urgent work waits only for the latter. */
const MAX_CRASH_SEPARATION_WAIT_MS = 1500;

/** A unit that has waited for this long no longer leaves its reservations to others, so that small jobs do not starve wide ones. */
const FIRM_RESERVATION_WAIT_MS = 10_000;

/** Waiting units per service that get workers reserved; more would leave too much capacity unused. */
const MAX_RESERVED_UNITS_PER_SERVICE = 2;

/** A unit wider than a worker may use the headroom for urgent jobs after waiting for this share of its estimated run time. */
const HEADROOM_WAIT_SHARE = 0.5;

/** Places waiting units in one pass over the pool, and preempts other work for urgent ones. */
export class SchedulingRound {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #idleServices = new IdleServices();
	readonly #crashExposure = new CrashExposure();
	readonly #evacuationLog: EvacuationLog;
	readonly #interference: InterferenceExposure;
	readonly #speedPreference: SpeedPreference;
	/** Expected ends of running tasks in the present round, by service. */
	readonly #releasesByService = new Map<string, readonly ExpectedRelease[]>();

	/**
	 * @param context - State of the pool.
	 * @param runs - Starts and stops runs.
	 * @param evacuationLog - Logs steps that wait for the end of an evacuation.
	 */
	constructor(context: PoolContext, runs: RunLifecycle, evacuationLog: EvacuationLog) {
		this.#context = context;
		this.#runs = runs;
		this.#evacuationLog = evacuationLog;
		this.#interference = new InterferenceExposure(context.interference.pairs);
		this.#speedPreference = new SpeedPreference(context);
	}

	/** Places the units that fit, in the order of {@link listPendingUnits}. */
	run(): void {
		const nowMs = this.#context.nowMs();
		const guarantees = new Guarantees(this.#context);
		const units = listPendingUnits(this.#context, guarantees, nowMs);
		if (units.length === 0) {
			this.#idleServices.clear();
			return;
		}

		this.#releasesByService.clear();
		this.#crashExposure.clear();
		this.#interference.clear();
		this.#speedPreference.clear();
		const workers = this.#listPresentWorkers(nowMs);
		/** Steps of which a task did not fit, apart for tasks that may use other workers; all their tasks have the same shape. */
		const blockedSteps = [new Set<StepState>(), new Set<StepState>(), new Set<StepState>(), new Set<StepState>()];
		const reservedUnits = new Map<string, number>();
		const workersByService = groupByService(workers);
		for (const [service, presentWorkers] of workersByService) {
			this.#idleServices.record(service, isHalfIdle(presentWorkers), nowMs);
		}

		for (const unit of units) {
			const hasWaitedLong = nowMs - unit.waitingSinceMs >= MAX_IDLE_POOL_WAIT_MS;
			const blocked = blockedSteps[(hasWaitedLong ? 2 : 0) + (this.#isOnLastAttempt(unit) ? 1 : 0)]!;
			if (blocked.has(unit.step)) {
				continue;
			}

			const presentWorkers = workersByService.get(unit.service) ?? [];
			const isOverdue = hasWaitedLong && (unit.step.spec.isLasting || isHalfIdle(presentWorkers));
			const serviceWorkers = this.#listOffered(unit, presentWorkers, isOverdue);
			const request = this.#requestFor(unit, isOverdue, nowMs);
			const mayUseAll = isOverdue && (unit.step.spec.isLasting || this.#idleServices.idleMsOf(unit.service, nowMs) >= MAX_IDLE_POOL_WAIT_MS);
			const candidates = this.#listCandidates(unit, serviceWorkers, roundWorker => freeCapacityFor(roundWorker, unit, {nowMs, mayUseAll}));
			const incarnations = mayUseAll || this.#leavesHeadroom(unit, serviceWorkers, nowMs) ? placeUnit(request, candidates) : undefined;
			const fastStart = incarnations && !isOverdue
				? this.#speedPreference.awaitFast(unit, request, {candidates, incarnations}, () => this.#releasesOf(unit.service, presentWorkers, nowMs))
				: undefined;
			if (fastStart) {
				allocate(workers, fastStart.incarnations, unit.step.spec.shape);
			} else if (incarnations) {
				allocate(workers, incarnations, unit.step.spec.shape);
				this.#runs.start(unit.tasks, incarnations);
				this.#crashExposure.forget(incarnations);
				this.#interference.forget(incarnations);
				this.#releasesByService.delete(unit.service);
				continue;
			}

			this.#evacuationLog.recordWaiting(unit.step, unit.service);
			if (unit.priority === URGENT_PRIORITY) {
				this.#reserveOrPreempt(unit, request, serviceWorkers, guarantees);
			} else {
				blocked.add(unit.step);
				this.#reserveEarliestStart(unit, request, serviceWorkers, reservedUnits);
			}
		}
	}

	/** Reserves workers for a unit from the time at which enough running tasks are expected to have ended. */
	#reserveEarliestStart(unit: PendingUnit, request: PlacementRequest, workers: readonly RoundWorker[], reservedUnits: Map<string, number>): void {
		const count = reservedUnits.get(unit.service) ?? 0;
		if (count >= MAX_RESERVED_UNITS_PER_SERVICE) {
			return;
		}

		const nowMs = this.#context.nowMs();
		const start = findEarliestStart(request, this.#listCandidates(unit, workers, roundWorker => roundWorker.free), this.#releasesOf(unit.service, workers, nowMs));
		if (!start) {
			return;
		}

		reservedUnits.set(unit.service, count + 1);
		for (const incarnation of start.incarnations) {
			workers.find(roundWorker => roundWorker.worker.incarnation === incarnation)!.reservations.push({
				shape: unit.step.spec.shape, fromMs: start.atMs, isFirm: nowMs - unit.waitingSinceMs >= FIRM_RESERVATION_WAIT_MS,
			});
		}
	}

	/** Lists the expected ends of a service's runs, once for all units of a round; lasting tasks do not end. */
	#releasesOf(service: string, workers: readonly RoundWorker[], nowMs: number): readonly ExpectedRelease[] {
		let releases = this.#releasesByService.get(service);
		if (!releases) {
			releases = orderReleases(workers.flatMap(roundWorker => [...roundWorker.worker.runs.values()].filter(run => !run.task.step.spec.isLasting).map(run => ({
				incarnation: roundWorker.worker.incarnation, shape: run.task.step.spec.shape, atMs: nowMs + estimateRemainingMs(run, nowMs),
			}))));
			this.#releasesByService.set(service, releases);
		}

		return releases;
	}

	/** Reserves capacity that is being freed for an urgent unit, and preempts other work if that is not enough. */
	#reserveOrPreempt(unit: PendingUnit, request: PlacementRequest, workers: readonly RoundWorker[], guarantees: Guarantees): void {
		const candidates = this.#listCandidates(unit, workers, roundWorker => roundWorker.freeAfterStops);
		const reserved = placeUnit(request, candidates);
		if (reserved) {
			allocate(workers, reserved, unit.step.spec.shape);
			return;
		}

		const victims = listVictims(unit, this.#context, guarantees);
		let plan = planPreemption(request, candidates, victims.map(({victim}) => victim));
		if (plan && request.prefersFast !== undefined && !isPreemptionWorthwhile(unit, plan.lostCoreSeconds)) {
			// Workers of the other class may lose less work.
			plan = planPreemption({...request, prefersFast: undefined}, candidates, victims.map(({victim}) => victim));
		}

		if (!plan || !isPreemptionWorthwhile(unit, plan.lostCoreSeconds)) {
			return;
		}

		this.#context.log('preemption', {
			job: unit.step.job.id, members: unit.tasks.length, isOwed: unit.isCoveredByGuarantee, workers: plan.incarnations, victims: plan.victims, lostCoreSeconds: Math.round(plan.lostCoreSeconds),
		});
		for (const {victim, run} of victims) {
			if (!plan.victims.includes(victim.id)) {
				continue;
			}

			for (const [incarnation, shape] of victim.shapes) {
				const roundWorker = workers.find(candidate => candidate.worker.incarnation === incarnation);
				if (roundWorker) {
					roundWorker.freeAfterStops = addShapes(roundWorker.freeAfterStops, shape);
				}
			}

			this.#runs.stopUnit(run, `preempted by job ${unit.step.job.id}`);
		}

		unit.step.lastPreemptionAtMs = this.#context.nowMs();
		allocate(workers, plan.incarnations, unit.step.spec.shape);
	}

	#leavesHeadroom(unit: PendingUnit, workers: readonly RoundWorker[], nowMs: number): boolean {
		const {spec, readyAtMs} = unit.step;
		const requested = unit.tasks.length * spec.shape.accelerators;
		if (unit.priority === URGENT_PRIORITY || requested === 0) {
			return true;
		}

		const perWorker = Math.max(1, ...workers.map(roundWorker => roundWorker.worker.facts.capacity.accelerators));
		if (requested > perWorker && nowMs - (readyAtMs ?? nowMs) > spec.estimatedMs * HEADROOM_WAIT_SHARE) {
			// Narrow units fit beside the headroom eventually, wide ones may never do.
			return true;
		}

		const capacity = workers.reduce((sum, roundWorker) => sum + roundWorker.worker.facts.capacity.accelerators, 0);
		const free = workers.reduce((sum, roundWorker) => sum + Math.max(0, roundWorker.free.accelerators), 0);
		return this.#context.headroom.allows(unit.service, {capacity, perWorker, free, requested}, nowMs);
	}

	#listPresentWorkers(nowMs: number): readonly RoundWorker[] {
		const workers: RoundWorker[] = [];
		for (const worker of this.#context.workers.values()) {
			if (this.#context.evacuations.has(worker.facts.failureDomain) || !isPresent(worker, nowMs, this.#context.limits.suspectTimeoutMs)) {
				continue;
			}

			const free = freeCapacity(worker);
			let stopping = EMPTY_SHAPE;
			for (const run of worker.runs.values()) {
				if (run.phase === RUN_PHASES.stopping) {
					stopping = addShapes(stopping, run.task.step.spec.shape);
				}
			}

			const isQuarantined = worker.quarantinedUntilMs > nowMs;
			workers.push({
				worker,
				isUsable: isUsable(worker) && !isQuarantined,
				isQuarantined: isUsable(worker) && isQuarantined,
				free,
				freeAfterStops: addShapes(free, stopping),
				reservations: [],
			});
		}

		return workers;
	}

	/** A unit that has waited for long in an idle service may try a quarantined worker, but not with its last attempt. */
	#listOffered(unit: PendingUnit, workers: readonly RoundWorker[], isOverdue: boolean): readonly RoundWorker[] {
		const mayUseQuarantined = isOverdue && !this.#isOnLastAttempt(unit);
		const nowMs = this.#context.nowMs();
		const hasCrashes = unit.tasks.some(task => task.crashes.length > 0);
		const isKeptApart = this.#context.crashSuspects.size > 0 && nowMs - unit.waitingSinceMs < MAX_CRASH_SEPARATION_WAIT_MS && (hasCrashes || unit.priority !== URGENT_PRIORITY);
		return workers.filter(({worker, isUsable, isQuarantined}) => (isUsable || (mayUseQuarantined && isQuarantined))
			&& (!isKeptApart || this.#crashExposure.mayShare(unit.tasks, worker, nowMs)));
	}

	#listCandidates(unit: PendingUnit, workers: readonly RoundWorker[], freeOf: (roundWorker: RoundWorker) => TaskShape): readonly CandidateWorker[] {
		const nowMs = this.#context.nowMs();
		const cannotAffordFailure = this.#cannotAffordFailure(unit);
		const hasLimitPerWorker = unit.step.spec.maxPerWorker !== undefined;
		const failedWorkerIds = new Set(unit.tasks.flatMap(task => [...task.failedWorkerIds]));
		const crashedWorkerIds = new Set(unit.tasks.flatMap(task => task.crashes.filter(crash => !crash.isExplained).map(crash => workerIdOf(crash.life))));
		const hasCrashSuspects = this.#context.crashSuspects.size > 0;
		const prefersFast = this.#speedPreference.prefersFast(unit);
		return workers.map(roundWorker => {
			const {worker} = roundWorker;
			return {
				incarnation: worker.incarnation,
				rack: rackOf(worker.facts),
				labels: worker.facts.labels,
				capacity: worker.facts.capacity,
				free: freeOf(roundWorker),
				...this.#speedPreference.speedOf(worker, unit, prefersFast),
				sameStepCount: hasLimitPerWorker ? countRunsOfStep(worker, unit.step) : 0,
				hasFailedHere: failedWorkerIds.has(worker.facts.id),
				isTooRisky: roundWorker.isQuarantined || (cannotAffordFailure && isUnreliable(worker, nowMs)),
				crashExposure: hasCrashSuspects ? this.#crashExposure.of(worker, crashedWorkerIds, nowMs) : 0,
				interference: this.#interference.of(unit.step, worker),
			};
		});
	}

	/** An urgent job that has just begun to wait has no time for a second run, and a job on its last attempt would fail. */
	#cannotAffordFailure(unit: PendingUnit): boolean {
		const hasTimeToWait = this.#context.nowMs() - unit.waitingSinceMs < this.#context.limits.reclaimMs * URGENT_WAIT_SHARE;
		return (unit.priority === URGENT_PRIORITY && hasTimeToWait) || this.#isOnLastAttempt(unit);
	}

	#isOnLastAttempt(unit: PendingUnit): boolean {
		const maxAttempts = this.#context.queueOf(unit.step.job)?.maxAttempts ?? Number.POSITIVE_INFINITY;
		return unit.tasks.some(task => task.failureCount >= maxAttempts - 1);
	}

	#requestFor(unit: PendingUnit, isOverdue: boolean, nowMs: number): PlacementRequest {
		const {spec} = unit.step;
		const waitedMs = nowMs - unit.waitingSinceMs;
		const {remoteFactor, reclaimMs} = this.#context.limits;
		const maxWaitMs = unit.priority === URGENT_PRIORITY
			? reclaimMs * (spec.prefersOneRack ? URGENT_RACK_WAIT_SHARE : URGENT_WAIT_SHARE)
			: spec.estimatedMs * (remoteFactor - 1) * REMOTE_WAIT_SHARE;
		const runningWorker = spec.prefersOneRack && !spec.isGang ? findWorkerOfStep(unit.step, this.#context) : undefined;
		const prefersFast = this.#speedPreference.prefersFast(unit);
		return {
			step: spec,
			count: unit.tasks.length,
			mayBeRemote: isOverdue || waitedMs >= maxWaitMs,
			mayBeRisky: isOverdue,
			isLastAttempt: this.#isOnLastAttempt(unit),
			ownInterference: this.#interference.ofUnit(unit.step),
			...(runningWorker && {stepRack: rackOf(runningWorker.facts)}),
			...(prefersFast !== undefined && {prefersFast}),
		};
	}
}

/** A unit beyond its guarantee preempts others only if it can still be on time and the lost work does not exceed its own. */
function isPreemptionWorthwhile(unit: PendingUnit, lostCoreSeconds: number): boolean {
	const {shape, estimatedMs} = unit.step.spec;
	const ownCoreSeconds = unit.tasks.length * weightInCores(shape) * estimatedMs / 1000;
	return unit.isCoveredByGuarantee || (unit.punctuality === PUNCTUALITY.onTime && lostCoreSeconds <= ownCoreSeconds);
}

/** @returns Whether a worker reports; unless it is evacuated, its capacity is part of its service's, whether it may get new work or not. */
function isPresent(worker: TrackedWorker, nowMs: number, suspectTimeoutMs: number): boolean {
	return worker.hasReportedLists && !worker.isLost && !worker.suspicion && nowMs - worker.listsAsOfMs < suspectTimeoutMs;
}

/** @returns Whether a worker that reports may get new work unless it is quarantined. */
function isUsable(worker: TrackedWorker): boolean {
	return !worker.hasUnknownRuns && !worker.endAcknowledgements.isFull && worker.facts.state === WORKER_STATES.ready;
}

/** Free capacity for a unit; reservations are subtracted if the unit would still run when they begin. */
function freeCapacityFor(roundWorker: RoundWorker, unit: PendingUnit, {nowMs, mayUseAll}: {readonly nowMs: number; readonly mayUseAll: boolean}): TaskShape {
	const {isLasting, estimatedMs} = unit.step.spec;
	if (unit.priority === URGENT_PRIORITY || (mayUseAll && isLasting)) {
		return roundWorker.free;
	}

	const endMs = nowMs + estimatedMs;
	let {free} = roundWorker;
	for (const reservation of roundWorker.reservations) {
		if (endMs > reservation.fromMs && (reservation.isFirm || !mayUseAll)) {
			free = subtractShapes(free, reservation.shape);
		}
	}

	return free;
}
