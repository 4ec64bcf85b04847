import {type EarliestStart, type ExpectedRelease, findEarliestStart} from './earliest-start.js';
import {URGENT_PRIORITY} from './guarantees.js';
import {type Job, remainingCriticalPathMs} from './job-model.js';
import {type PendingUnit, PUNCTUALITY} from './pending-units.js';
import type {CandidateWorker, PlacementRequest} from './placement.js';
import type {PoolContext} from './pool-context.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A less urgent unit counts as on time if this multiple of the time that its job still needs is left. */
const ON_TIME_MARGIN = 1.2;

/** The same for urgent units, whose objective leaves little more than the time on slow workers. */
const URGENT_ON_TIME_MARGIN = 1.1;

/**
 * Above the largest score of a fit (4), so that best fit does not decide between the speed classes, and above that of
 * neighbours that slow a task down by less than the difference between the classes (4.1 and the share of added time).
 */
const OTHER_CLASS_PENALTY = 5;

/** Decides between workers that fit equally, so that the speeds of unknown ones become known. */
const KNOWN_WORKER_PENALTY = 0.05;

/** An urgent unit waits for fast workers up to this share of the bound on guaranteed starts; the rest leaves time for preemption. */
const MAX_FAST_WAIT_SHARE = 0.5;

/** Callers' estimates are for normal workers. A service's median worker is not taken for slower than this, or for faster than 1. */
const MIN_MEDIAN_SPEED = 0.5;

/** What placement knows of the speed of a worker. */
export type CandidateSpeed = Pick<CandidateWorker, 'isFast' | 'slowness' | 'speedPenalty'>;

/** Where a unit can be placed at once. */
type Placement = {readonly candidates: readonly CandidateWorker[]; readonly incarnations: readonly string[]};

/** Chooses between slow and fast workers where a service's speeds differ much. One object serves a scheduling round. */
export class SpeedPreference {
	readonly #context: PoolContext;
	/** Whether less urgent jobs need fast workers to be on time. */
	readonly #needsFast = new Map<Job, boolean>();

	/** @param context - State of the pool. */
	constructor(context: PoolContext) {
		this.#context = context;
	}

	/** Forgets what depends on the time of the last round. */
	clear(): void {
		this.#needsFast.clear();
	}

	/**
	 * @param unit - A waiting unit.
	 * @returns Whether fast workers are tried first, or slow ones; undefined if the speeds in its service do not count.
	 */
	prefersFast(unit: PendingUnit): boolean | undefined {
		if (!this.#context.speeds.classesOf(unit.service).isActive) {
			return undefined;
		}

		if (unit.priority === URGENT_PRIORITY) {
			return unit.punctuality !== PUNCTUALITY.tooLate;
		}

		const {job} = unit.step;
		let needsFast = this.#needsFast.get(job);
		if (needsFast === undefined) {
			needsFast = this.#isOnTimeOnlyOnFast(unit);
			this.#needsFast.set(job, needsFast);
		}

		return needsFast;
	}

	/**
	 * @param worker - A worker.
	 * @param unit - The unit to place.
	 * @param prefersFast - What {@link SpeedPreference.prefersFast} returned for it.
	 * @returns The worker's speed as placement uses it.
	 */
	speedOf(worker: TrackedWorker, unit: PendingUnit, prefersFast: boolean | undefined): CandidateSpeed {
		const {speeds} = this.#context;
		if (prefersFast === undefined) {
			return {isFast: false, slowness: worker.slowness, speedPenalty: 0};
		}

		const {fast, fastSpeed, slowSpeed} = speeds.classesOf(unit.service);
		const factor = speeds.transientFactorOf(worker.agent, this.#context.nowMs());
		// A fast worker that is disturbed now may be slower than a slow one.
		const isFast = fast.has(worker.agent) && (factor ** 2) * fastSpeed > slowSpeed;
		// A gang that is placed on workers of both classes runs at the pace of the slow ones.
		const shouldBeFast = prefersFast && unit.tasks.length === 1;
		const explorationPenalty = unit.priority === URGENT_PRIORITY ? 0 : KNOWN_WORKER_PENALTY * speeds.knownShareOf(worker.agent);
		return {isFast, slowness: 1 / factor, speedPenalty: (isFast === shouldBeFast ? 0 : OTHER_CLASS_PENALTY) + explorationPenalty};
	}

	/**
	 * Decides whether an urgent unit that does not fit onto free fast workers waits for them instead of using slow ones.
	 * It does if it would be late on slow ones, and fast ones are expected to be free in time, and in less time than it
	 * would lose on slow ones. As long as it can be on time on slow ones, a wait could only make it late.
	 *
	 * @param unit - The unit.
	 * @param request - What is to be placed.
	 * @param placement - The usable workers, and the worker incarnation for each member if it does not wait.
	 * @param listReleases - Lists the expected ends of running tasks in their order.
	 * @returns The expected start on fast workers, or undefined if it does not wait.
	 */
	awaitFast(unit: PendingUnit, request: PlacementRequest, placement: Placement, listReleases: () => readonly ExpectedRelease[]): EarliestStart | undefined {
		const {candidates, incarnations} = placement;
		const {estimatedMs, preferredRack, prefersOneRack} = request.step;
		// Away from its rack, a task loses more than on a slow worker.
		const isBoundToRack = preferredRack !== undefined || prefersOneRack;
		if (request.prefersFast !== true || unit.priority !== URGENT_PRIORITY || isBoundToRack) {
			return undefined;
		}

		const fast = candidates.filter(({isFast}) => isFast);
		const fastIncarnations = new Set(fast.map(({incarnation}) => incarnation));
		if (incarnations.every(incarnation => fastIncarnations.has(incarnation))) {
			return undefined;
		}

		const nowMs = this.#context.nowMs();
		const {fastSpeed, slowSpeed} = this.#context.speeds.classesOf(unit.service);
		const lostMs = estimatedMs / this.#medianSpeedOf(unit.service) * ((1 / slowSpeed) - (1 / fastSpeed));
		const maxWaitMs = Math.min(lostMs, this.#context.limits.reclaimMs * MAX_FAST_WAIT_SHARE) - (nowMs - unit.waitingSinceMs);
		if (maxWaitMs <= 0 || fast.length === 0) {
			return undefined;
		}

		const {onFastMs, onSlowMs} = this.#remainingMsOf(unit, URGENT_ON_TIME_MARGIN);
		if (nowMs + onSlowMs <= unit.objectiveMs || nowMs + onFastMs > unit.objectiveMs) {
			return undefined;
		}

		const start = findEarliestStart(request, fast, listReleases());
		return start && start.atMs - nowMs <= maxWaitMs && start.atMs + onFastMs <= unit.objectiveMs ? start : undefined;
	}

	#isOnTimeOnlyOnFast(unit: PendingUnit): boolean {
		const {onFastMs, onSlowMs} = this.#remainingMsOf(unit, ON_TIME_MARGIN);
		const leftMs = unit.objectiveMs - this.#context.nowMs();
		return onSlowMs > leftMs && onFastMs <= leftMs;
	}

	#remainingMsOf(unit: PendingUnit, margin: number): {readonly onFastMs: number; readonly onSlowMs: number} {
		const {fastSpeed, slowSpeed} = this.#context.speeds.classesOf(unit.service);
		const onMedianMs = remainingCriticalPathMs(unit.step.job) * margin / this.#medianSpeedOf(unit.service);
		return {onFastMs: onMedianMs / fastSpeed, onSlowMs: onMedianMs / slowSpeed};
	}

	#medianSpeedOf(service: string): number {
		return Math.min(1, Math.max(MIN_MEDIAN_SPEED, this.#context.speeds.medianSpeedOf(service)));
	}
}
