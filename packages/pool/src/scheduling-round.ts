import {
	addShapes, EMPTY_SHAPE, subtractShapes, weightInCores,
} from './capacity.js';
import {
	FINAL_STATES, isStepDone, isStepReady, type Job, objectiveAtMs, type Run, RUN_PHASES, type StepState, type Task,
} from './job-table.js';
import {type TaskShape, WORKER_STATES} from './model.js';
import {type PlacementRequest, placeUnit, type WorkerRoom} from './placement.js';
import type {PoolContext} from './pool-context.js';
import {planPreemption, type Victim} from './preemption.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {freeShape, rackOf, type WorkerEntry} from './worker-entry.js';

/** Highest priority; it may preempt others. */
const URGENT_PRIORITY = 0;

/** Share of the remote factor's extra time that a task waits for room near its data. */
const REMOTE_PATIENCE = 0.5;

/** Core-seconds that put urgent work behind all less urgent work as a victim. */
const URGENT_VICTIM_PENALTY = 1e5;

/** A task, or all members of a gang, that wait for room. */
type PendingUnit = {
	readonly step: StepState;
	readonly tasks: readonly Task[];
	readonly priority: number;
	readonly service: string;
	readonly objectiveMs: number;
	/** The account's guarantee covers it together with what the account's urgent work uses. */
	isOwed: boolean;
};

/** Room of a worker during one round. */
type RoundRoom = {readonly worker: WorkerEntry; free: TaskShape; freeLater: TaskShape};

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

	/** Places what fits, in order of priority and then of the time by which a job is on time. */
	run(): void {
		const nowMs = this.#context.nowMs();
		const rooms = this.#openRooms(nowMs);
		/** Steps of which one task found no room: the others have the same shape. */
		const blockedSteps = new Set<StepState>();
		for (const unit of this.#pendingUnits(nowMs)) {
			if (blockedSteps.has(unit.step)) {
				continue;
			}

			const request = this.#requestFor(unit, nowMs);
			const candidates = rooms.filter(room => room.worker.facts.service === unit.service);
			const lives = placeUnit(request, candidates.map(room => roomView(room, room.free, unit)));
			if (lives) {
				take(rooms, lives, unit.step.spec.shape);
				this.#runs.start(unit.tasks, lives);
			} else if (unit.priority === URGENT_PRIORITY) {
				this.#reserve(unit, request, candidates);
			} else {
				blockedSteps.add(unit.step);
			}
		}
	}

	/** Keeps room that becomes free for an urgent unit, after stopping other work if needed. */
	#reserve(unit: PendingUnit, request: PlacementRequest, rooms: readonly RoundRoom[]): void {
		const views = rooms.map(room => roomView(room, room.freeLater, unit));
		const reserved = placeUnit(request, views);
		if (reserved) {
			take(rooms, reserved, unit.step.spec.shape);
			return;
		}

		const victims = this.#victims(unit);
		const plan = planPreemption(request, views, victims.map(({victim}) => victim));
		if (!plan) {
			return;
		}

		this.#context.log('preemption', {
			job: unit.step.job.id, members: unit.tasks.length, workers: plan.lives, victims: plan.victims, lostCoreSeconds: Math.round(plan.lostCoreSeconds),
		});
		for (const {victim, run} of victims) {
			if (plan.victims.includes(victim.id)) {
				for (const [life, shape] of victim.shapes) {
					const room = rooms.find(candidate => candidate.worker.life === life);
					if (room) {
						room.freeLater = addShapes(room.freeLater, shape);
					}
				}

				this.#runs.stopUnit(run, `preempted by job ${unit.step.job.id}`);
			}
		}

		take(rooms, plan.lives, unit.step.spec.shape);
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

			rooms.push({worker, free, freeLater: addShapes(free, stopping)});
		}

		return rooms;
	}

	#pendingUnits(nowMs: number): readonly PendingUnit[] {
		const units: PendingUnit[] = [];
		for (const job of this.#context.jobs.values()) {
			if (job.isEnding || job.isCancelled || FINAL_STATES.has(job.state)) {
				continue;
			}

			const queue = this.#context.queueOf(job);
			if (!queue) {
				continue;
			}

			const common = {priority: queue.priority, service: queue.service, objectiveMs: objectiveAtMs(job, queue)};
			for (const step of pendingSteps(job, nowMs)) {
				units.push(...waitingTasks(step).map(tasks => ({step, tasks, isOwed: false, ...common})));
			}
		}

		units.sort((left, right) => left.priority - right.priority || left.objectiveMs - right.objectiveMs);
		this.#markOwed(units);
		// What an account is owed goes before what others have beyond their guarantees.
		return units.toSorted((left, right) => left.priority - right.priority || Number(right.isOwed) - Number(left.isOwed) || left.objectiveMs - right.objectiveMs);
	}

	#markOwed(units: readonly PendingUnit[]): void {
		const inUse = new Map(this.#urgentAccelerators());
		for (const unit of units) {
			if (unit.priority !== URGENT_PRIORITY) {
				return;
			}

			const {account} = unit.step.job;
			const wanted = (inUse.get(account) ?? 0) + (unit.tasks.length * unit.step.spec.shape.accelerators);
			unit.isOwed = wanted <= this.#guaranteeOf(account);
			if (unit.isOwed) {
				inUse.set(account, wanted);
			}
		}
	}

	#requestFor(unit: PendingUnit, nowMs: number): PlacementRequest {
		const {spec} = unit.step;
		const waitedMs = nowMs - (unit.step.readyAtMs ?? nowMs);
		const patienceMs = spec.estimatedMs * (this.#context.limits.remoteFactor - 1) * REMOTE_PATIENCE;
		const isUrgent = unit.priority === URGENT_PRIORITY;
		const running = spec.prefersOneRack && !spec.isGang ? unit.step.tasks.find(task => task.run) : undefined;
		const runningOn = running?.run && this.#context.workers.get(running.run.life);
		return {
			step: spec,
			count: unit.tasks.length,
			mayBeRemote: waitedMs >= (isUrgent ? this.#context.limits.reclaimMs / 4 : patienceMs),
			...(runningOn && {stepRack: rackOf(runningOn.facts)}),
		};
	}

	/** Lists what may be stopped for an urgent unit: less urgent work, and urgent work beyond its account's guarantee. */
	#victims(unit: PendingUnit): ReadonlyArray<{readonly victim: Victim; readonly run: Run}> {
		const nowMs = this.#context.nowMs();
		const excess = unit.isOwed ? this.#excessOfOthers(unit.step.job.account) : new Map<string, number>();
		const found: Array<{victim: Victim; run: Run}> = [];
		for (const runs of this.#stoppableUnits(unit.service)) {
			const [run] = runs;
			const {job, spec} = run!.task.step;
			const isUrgent = this.#context.queueOf(job)?.priority === URGENT_PRIORITY;
			if (isUrgent) {
				const left = (excess.get(job.account) ?? 0) - (runs.length * spec.shape.accelerators);
				if (left < 0) {
					continue;
				}

				excess.set(job.account, left);
			}

			const shapes = new Map<string, TaskShape>();
			let lost = isUrgent ? URGENT_VICTIM_PENALTY : 0;
			for (const member of runs) {
				shapes.set(member.life, addShapes(shapes.get(member.life) ?? EMPTY_SHAPE, spec.shape));
				lost += lostCoreSeconds(member, nowMs);
			}

			found.push({victim: {id: unitIdOf(run!), shapes, lostCoreSeconds: lost}, run: run!});
		}

		return found;
	}

	/** Runs of a service that are not being stopped, the members of a gang together, the newest job first. */
	#stoppableUnits(service: string): ReadonlyArray<readonly Run[]> {
		const units = new Map<string, Run[]>();
		for (const worker of this.#context.workers.values()) {
			if (worker.facts.service !== service) {
				continue;
			}

			for (const run of worker.runs.values()) {
				if (run.phase !== RUN_PHASES.stopping && !run.task.isDone) {
					const id = unitIdOf(run);
					units.set(id, [...(units.get(id) ?? []), run]);
				}
			}
		}

		return [...units.values()].toSorted((left, right) => right[0]!.task.step.job.knownAtMs - left[0]!.task.step.job.knownAtMs);
	}

	/** Accelerators that accounts use for urgent work beyond their guarantees. */
	#excessOfOthers(account: string): Map<string, number> {
		const excess = new Map<string, number>();
		for (const [other, inUse] of this.#urgentAccelerators()) {
			if (other !== account && inUse > this.#guaranteeOf(other)) {
				excess.set(other, inUse - this.#guaranteeOf(other));
			}
		}

		return excess;
	}

	#guaranteeOf(account: string): number {
		return this.#context.config?.accounts.find(candidate => candidate.name === account)?.guaranteedAccelerators ?? 0;
	}

	#urgentAccelerators(): ReadonlyMap<string, number> {
		const inUse = new Map<string, number>();
		for (const worker of this.#context.workers.values()) {
			for (const run of worker.runs.values()) {
				const {job, spec} = run.task.step;
				if (run.phase !== RUN_PHASES.stopping && this.#context.queueOf(job)?.priority === URGENT_PRIORITY) {
					inUse.set(job.account, (inUse.get(job.account) ?? 0) + spec.shape.accelerators);
				}
			}
		}

		return inUse;
	}
}

/** @returns Whether a worker may get new work. */
export function isUsable(worker: WorkerEntry, nowMs: number, silentAfterMs: number): boolean {
	return worker.isKnown && !worker.isLost && !worker.suspicion && !worker.hasUnknownRuns
		&& worker.facts.state === WORKER_STATES.ready
		&& worker.quarantinedUntilMs <= nowMs
		&& nowMs - worker.lastContactMs < silentAfterMs;
}

function unitIdOf(run: Run): string {
	const {step} = run.task;
	return step.spec.isGang ? `${step.job.id}.${step.occurrence}.${step.number}` : run.task.name;
}

/** @returns What may be placed at once: the whole gang, or each waiting task. */
function waitingTasks(step: StepState): ReadonlyArray<readonly Task[]> {
	if (step.spec.isGang) {
		return step.tasks.every(task => !task.run) ? [step.tasks] : [];
	}

	return step.tasks.filter(task => !task.isDone && !task.run).map(task => [task]);
}

function pendingSteps(job: Job, nowMs: number): readonly StepState[] {
	const steps: StepState[] = [];
	for (const occurrence of job.occurrences) {
		for (const step of occurrence.steps) {
			if (!isStepDone(step) && isStepReady(step, occurrence)) {
				step.readyAtMs ??= nowMs;
				steps.push(step);
			}
		}
	}

	return steps;
}

function roomView(room: RoundRoom, free: TaskShape, unit: PendingUnit): WorkerRoom {
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
	};
}

function take(rooms: readonly RoundRoom[], lives: readonly string[], shape: TaskShape): void {
	for (const life of lives) {
		const room = rooms.find(candidate => candidate.worker.life === life)!;
		room.free = subtractShapes(room.free, shape);
		room.freeLater = subtractShapes(room.freeLater, shape);
	}
}

/** A stop writes a checkpoint; what is lost then is about the time of a restore. */
const RESTORE_SECONDS = 0.6;

/** @returns Core-seconds of a run that a stop would lose. */
export function lostCoreSeconds(run: Run, nowMs: number): number {
	const {spec} = run.task.step;
	const ranSeconds = run.startedAtMs === undefined ? 0 : (nowMs - run.startedAtMs) / 1000;
	return weightInCores(spec.shape) * (spec.isCheckpointing ? Math.min(RESTORE_SECONDS, ranSeconds) : ranSeconds);
}
