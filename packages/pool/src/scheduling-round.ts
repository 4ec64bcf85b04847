import {
	addShapes, EMPTY_SHAPE, subtractShapes, weightInCores,
} from './capacity.js';
import {findEarliestStart} from './earliest-start.js';
import {Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {RUN_PHASES, type StepState} from './job-model.js';
import {type TaskShape, WORKER_STATES} from './model.js';
import {listPendingUnits, type PendingUnit, PROSPECTS} from './pending-units.js';
import {type PlacementRequest, placeUnit, type WorkerRoom} from './placement.js';
import type {PoolContext} from './pool-context.js';
import {planPreemption} from './preemption.js';
import {estimateRemainingMs} from './run-estimate.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {listVictims} from './victims.js';
import {freeShape, rackOf, type WorkerEntry} from './tracked-worker.js';
import {isDoubted} from './worker-quarantine.js';

/** Share of the remote factor's extra time that a task waits for room near its data. */
const REMOTE_PATIENCE = 0.5;

/** Share of the bound on guaranteed starts that an urgent task waits for room near its data or on a sound worker. */
const URGENT_PATIENCE = 0.25;

/**
 * The same for tasks that are slower on several racks: they would be late there for certain, and half of the bound
 * leaves time for stopping other work.
 */
const URGENT_RACK_PATIENCE = 0.5;

/** A job must not wait for 3 s while half of the pool is idle. */
const IDLE_PATIENCE_MS = 2000;

/** Room of a worker during one round. */
type RoundRoom = {
	readonly worker: WorkerEntry;
	free: TaskShape;
	/** With what is being stopped. */
	freeLater: TaskShape;
	/** Room that is kept for units that wait, from the time at which they are expected to start. */
	readonly reservations: Reservation[];
};

type Reservation = {readonly shape: TaskShape; readonly fromMs: number};

/** Waiting units per service that get workers reserved; more would leave too much room unused. */
const MAX_RESERVED_UNITS = 2;

/** Share of its own run time after which a unit wider than a worker may use the headroom for urgent jobs. */
const HEADROOM_PATIENCE = 0.5;

/** Decides in one pass which waiting tasks start where, and what is stopped for urgent ones. */
export class SchedulingRound {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;

	/**
	 * @param context - State of the pool.
	 * @param runs - Starts and stops runs.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
	}

	/** Places what fits, in the order of {@link listPendingUnits}. */
	run(): void {
		const nowMs = this.#context.nowMs();
		const guarantees = new Guarantees(this.#context);
		const units = listPendingUnits(this.#context, guarantees, nowMs);
		if (units.length === 0) {
			return;
		}

		const rooms = this.#openRooms(nowMs);
		/** Steps of which one task found no room: the others have the same shape. */
		const blockedSteps = new Set<StepState>();
		const reservedUnits = new Map<string, number>();
		for (const unit of units) {
			if (blockedSteps.has(unit.step)) {
				continue;
			}

			const candidates = rooms.filter(room => room.worker.facts.service === unit.service);
			const request = this.#requestFor(unit, candidates, nowMs);
			const views = candidates.map(room => this.#roomView(room, freeFor(room, unit, nowMs), unit));
			const lives = this.#leavesHeadroom(unit, candidates, nowMs) ? placeUnit(request, views) : undefined;
			if (lives) {
				take(rooms, lives, unit.step.spec.shape);
				this.#runs.start(unit.tasks, lives);
			} else if (unit.priority === URGENT_PRIORITY) {
				this.#reserve(unit, request, candidates, guarantees);
			} else {
				blockedSteps.add(unit.step);
				const count = reservedUnits.get(unit.service) ?? 0;
				if (count < MAX_RESERVED_UNITS && this.#reserveStart(unit, request, candidates, nowMs)) {
					reservedUnits.set(unit.service, count + 1);
				}
			}
		}
	}

	/** Keeps workers for a unit until enough of what runs there is expected to have ended. */
	#reserveStart(unit: PendingUnit, request: PlacementRequest, rooms: readonly RoundRoom[], nowMs: number): boolean {
		const releases = rooms.flatMap(room => [...room.worker.runs.values()].map(run => ({
			life: room.worker.life, shape: run.task.step.spec.shape, atMs: nowMs + estimateRemainingMs(run, nowMs),
		})));
		const start = findEarliestStart(request, rooms.map(room => this.#roomView(room, room.free, unit)), releases);
		if (!start) {
			return false;
		}

		for (const life of start.lives) {
			rooms.find(room => room.worker.life === life)!.reservations.push({shape: unit.step.spec.shape, fromMs: start.atMs});
		}

		return true;
	}

	/** Keeps room that becomes free for an urgent unit, after stopping other work if needed. */
	#reserve(unit: PendingUnit, request: PlacementRequest, rooms: readonly RoundRoom[], guarantees: Guarantees): void {
		const views = rooms.map(room => this.#roomView(room, room.freeLater, unit));
		const reserved = placeUnit(request, views);
		if (reserved) {
			take(rooms, reserved, unit.step.spec.shape);
			return;
		}

		const victims = listVictims(unit, this.#context, guarantees);
		const plan = planPreemption(request, views, victims.map(({victim}) => victim));
		if (!plan || !isWorthIt(unit, plan.lostCoreSeconds)) {
			return;
		}

		this.#context.log('preemption', {
			job: unit.step.job.id, members: unit.tasks.length, isOwed: unit.isOwed, workers: plan.lives, victims: plan.victims, lostCoreSeconds: Math.round(plan.lostCoreSeconds),
		});
		for (const {victim, run} of victims) {
			if (!plan.victims.includes(victim.id)) {
				continue;
			}

			for (const [life, shape] of victim.shapes) {
				const room = rooms.find(candidate => candidate.worker.life === life);
				if (room) {
					room.freeLater = addShapes(room.freeLater, shape);
				}
			}

			this.#runs.stopUnit(run, `preempted by job ${unit.step.job.id}`);
		}

		unit.step.roomMadeSinceMs = this.#context.nowMs();
		take(rooms, plan.lives, unit.step.spec.shape);
	}

	#leavesHeadroom(unit: PendingUnit, rooms: readonly RoundRoom[], nowMs: number): boolean {
		const {spec, readyAtMs} = unit.step;
		const wanted = unit.tasks.length * spec.shape.accelerators;
		if (unit.priority === URGENT_PRIORITY || wanted === 0) {
			return true;
		}

		const perWorker = Math.max(1, ...rooms.map(room => room.worker.facts.capacity.accelerators));
		if (wanted > perWorker && nowMs - (readyAtMs ?? nowMs) > spec.estimatedMs * HEADROOM_PATIENCE) {
			// Narrow units fit beside the headroom sooner or later, wide ones may not.
			return true;
		}

		const capacity = rooms.reduce((sum, room) => sum + room.worker.facts.capacity.accelerators, 0);
		const free = rooms.reduce((sum, room) => sum + Math.max(0, room.free.accelerators), 0);
		return this.#context.headroom.allows(unit.service, {capacity, perWorker, free, wanted}, nowMs);
	}

	#openRooms(nowMs: number): readonly RoundRoom[] {
		const rooms: RoundRoom[] = [];
		for (const worker of this.#context.workers.values()) {
			if (!isUsable(worker, nowMs, this.#context.limits.suspectAfterMs)) {
				continue;
			}

			const free = freeShape(worker);
			let stopping = EMPTY_SHAPE;
			for (const run of worker.runs.values()) {
				if (run.phase === RUN_PHASES.stopping) {
					stopping = addShapes(stopping, run.task.step.spec.shape);
				}
			}

			rooms.push({worker, free, freeLater: addShapes(free, stopping), reservations: []});
		}

		return rooms;
	}

	#roomView(room: RoundRoom, free: TaskShape, unit: PendingUnit): WorkerRoom {
		const {worker} = room;
		let sameStepCount = 0;
		for (const run of worker.runs.values()) {
			if (run.task.step === unit.step) {
				sameStepCount++;
			}
		}

		return {
			life: worker.life,
			rack: rackOf(worker.facts),
			labels: worker.facts.labels,
			capacity: worker.facts.capacity,
			free,
			slowness: worker.slowness,
			sameStepCount,
			hasFailedHere: unit.tasks.some(task => task.failedOn.has(worker.facts.id)),
			isTooRisky: isDoubted(worker, this.#context.nowMs()) && this.#cannotAffordFailure(unit),
		};
	}

	/** An urgent job has no time for a second run, and a job on its last attempt would fail. */
	#cannotAffordFailure(unit: PendingUnit): boolean {
		const maxAttempts = this.#context.queueOf(unit.step.job)?.maxAttempts ?? Number.POSITIVE_INFINITY;
		const isFresh = this.#context.nowMs() - unit.waitingSinceMs < this.#context.limits.reclaimMs * URGENT_PATIENCE;
		return (unit.priority === URGENT_PRIORITY && isFresh) || unit.tasks.some(task => task.failures >= maxAttempts - 1);
	}

	#requestFor(unit: PendingUnit, rooms: readonly RoundRoom[], nowMs: number): PlacementRequest {
		const {spec} = unit.step;
		const waitedMs = nowMs - unit.waitingSinceMs;
		const {remoteFactor, reclaimMs} = this.#context.limits;
		const patienceMs = unit.priority === URGENT_PRIORITY
			? reclaimMs * (spec.prefersOneRack ? URGENT_RACK_PATIENCE : URGENT_PATIENCE)
			: spec.estimatedMs * (remoteFactor - 1) * REMOTE_PATIENCE;
		const running = spec.prefersOneRack && !spec.isGang ? unit.step.tasks.find(task => task.run) : undefined;
		const runningOn = running?.run && this.#context.workers.get(running.run.life);
		return {
			step: spec,
			count: unit.tasks.length,
			mayBeRemote: waitedMs >= patienceMs || (waitedMs >= IDLE_PATIENCE_MS && isHalfIdle(rooms)),
			...(runningOn && {stepRack: rackOf(runningOn.facts)}),
		};
	}
}

/**
 * Beyond its guarantee, a unit stops others only while it can still be on time and less work is lost than it brings.
 */
function isWorthIt(unit: PendingUnit, lostCoreSeconds: number): boolean {
	const {shape, estimatedMs} = unit.step.spec;
	const ownCoreSeconds = unit.tasks.length * weightInCores(shape) * estimatedMs / 1000;
	return unit.isOwed || (unit.prospect === PROSPECTS.onTime && lostCoreSeconds <= ownCoreSeconds);
}

/** @returns Whether less than half of the pool's accelerators and processors are in use. */
function isHalfIdle(rooms: readonly RoundRoom[]): boolean {
	let free = EMPTY_SHAPE;
	let capacity = EMPTY_SHAPE;
	for (const room of rooms) {
		free = addShapes(free, room.free);
		capacity = addShapes(capacity, room.worker.facts.capacity);
	}

	return free.accelerators * 2 > capacity.accelerators && free.cpuMillis * 2 > capacity.cpuMillis;
}

/** @returns Whether a worker may get new work. */
function isUsable(worker: WorkerEntry, nowMs: number, silentAfterMs: number): boolean {
	return worker.isKnown && !worker.isLost && !worker.suspicion && !worker.hasUnknownRuns
		&& worker.facts.state === WORKER_STATES.ready
		&& worker.quarantinedUntilMs <= nowMs
		&& nowMs - worker.lastContactMs < silentAfterMs;
}

/** Room that a unit may use now: what is kept for others counts if the unit would still run when they start. */
function freeFor(room: RoundRoom, unit: PendingUnit, nowMs: number): TaskShape {
	if (unit.priority === URGENT_PRIORITY) {
		return room.free;
	}

	const endMs = nowMs + unit.step.spec.estimatedMs;
	let {free} = room;
	for (const reservation of room.reservations) {
		if (endMs > reservation.fromMs) {
			free = subtractShapes(free, reservation.shape);
		}
	}

	return free;
}

function take(rooms: readonly RoundRoom[], lives: readonly string[], shape: TaskShape): void {
	for (const life of lives) {
		const room = rooms.find(candidate => candidate.worker.life === life)!;
		room.free = subtractShapes(room.free, shape);
		room.freeLater = subtractShapes(room.freeLater, shape);
	}
}
