import {expect} from 'chai';
import {
	INTERVAL_MS, type PlannedJob, type RunEnd, type RunStart, SIMULATION_CONFIG, STEP_MS,
} from './pool-simulation.js';
import {
	addShapes, EMPTY_SHAPE, fitsInto, formatTaskName, JOB_STATES, type JobState, parseTaskName, type StepSpec, subtractShapes, type TaskShape, type WorkerFacts, WORKER_STATES,
} from '@amaranthsail/pool';

/** A job, and each lasting task, may wait beside idle capacity for this time. */
const MAX_IDLE_WAIT_MS = 3000;

/** The wait of a lasting task counts from this time after its last run. */
const LASTING_GRACE_MS = 6000;

/** Spare capacity has to hold what waits this many times. */
const SPARE_COPIES = 2;

type Waiting = {
	readonly key: string;
	readonly step: StepSpec;
	readonly taskPrefix: string;
	readonly service: string;
	readonly needsIdleService: boolean;
	readonly graceMs: number;
	readonly lastRunAtMs: number;
};

type ObservedWorker = {readonly facts: WorkerFacts; readonly runs: ReadonlyMap<string, unknown>};

type ObservedEnd = Pick<RunEnd, 'task' | 'run' | 'atMs' | 'outcome' | 'isAcknowledged' | 'hasLapsed'>;

/** What the oracle reads of a simulation. */
export type ObservedSimulation = {
	readonly nowMs: number;
	readonly isCalm: boolean;
	readonly isLeaderPresent: boolean;
	readonly jobs: ReadonlyMap<string, PlannedJob>;
	readonly cancelled: ReadonlySet<string>;
	readonly starts: readonly RunStart[];
	readonly ends: readonly ObservedEnd[];
	/** Workers that are up, including unreachable ones. */
	readonly upWorkers: readonly ObservedWorker[];
	readonly harness: {readonly core: {jobView(id: string): {readonly state: JobState} | undefined}};
	/** Whether a task of the job has crashed so many workers that it may be given up; no job may if this is absent. */
	readonly mayGiveUp?: (jobId: string) => boolean;
};

/** Checks what callers see of a simulation, from the starts and ends on its workers alone. */
export class PoolOracle {
	readonly #simulation: ObservedSimulation;
	readonly #waitsMs = new Map<string, number>();
	readonly #lastRunAtMs = new Map<string, number>();
	readonly #finalStates = new Map<string, string>();

	constructor(simulation: ObservedSimulation) {
		this.#simulation = simulation;
	}

	/** Whether all jobs that can end have ended. */
	get isFinished(): boolean {
		return [...this.#simulation.jobs].every(([id, job]) => job.steps.some(step => step.isLasting) || this.#finalStates.has(id));
	}

	/** Checks the state after a step. */
	check(): void {
		this.#checkRuns();
		if (this.#simulation.isLeaderPresent) {
			for (const [id, job] of this.#simulation.jobs) {
				this.#checkState(id, job);
			}
		}

		this.#checkWaits();
	}

	/** Checks the starts against all ends that were ever acknowledged. */
	checkStarts(): void {
		const counted = this.#simulation.ends.filter(end => end.isAcknowledged && !end.hasLapsed);
		for (const start of this.#simulation.starts) {
			const name = parseTaskName(start.task)!;
			const job = this.#simulation.jobs.get(name.jobId)!;
			const step = job.steps[name.step]!;
			const earlier = counted.filter(end => end.atMs < start.atMs && (end.task === start.task || (step.isGang && isSameStep(end.task, start.task))));
			expect(earlier.some(end => end.outcome === 'done'), `${start.task}#${start.run} starts after it was done`).to.equal(false);
			const failedRuns = new Set(earlier.filter(end => end.outcome === 'failed').map(end => end.run));
			expect(step.isLasting || failedRuns.size < maxAttemptsOf(job), `${start.task}#${start.run} starts after its last attempt`).to.equal(true);
		}
	}

	#checkRuns(): void {
		const holders = new Map<string, string>();
		for (const worker of this.#simulation.upWorkers) {
			expect(fitsInto(usedBy(worker, this.#simulation), worker.facts.capacity), `${worker.facts.life} is over its capacity`).to.equal(true);
			for (const task of worker.runs.keys()) {
				expect(holders.get(task), `${task} also runs on ${worker.facts.life}`).to.equal(undefined);
				holders.set(task, worker.facts.life);
				this.#lastRunAtMs.set(task, this.#simulation.nowMs);
			}
		}
	}

	#checkState(id: string, job: PlannedJob): void {
		const state = this.#simulation.harness.core.jobView(id)?.state;
		const earlier = this.#finalStates.get(id);
		if (earlier !== undefined && earlier === state) {
			return;
		}

		expect(state, `${id} is not known`).not.to.equal(undefined);
		expect(earlier ?? state, `${id} changes its final state`).to.equal(state);
		if (state === JOB_STATES.queued || state === JOB_STATES.running) {
			return;
		}

		this.#finalStates.set(id, state!);
		if (state === JOB_STATES.cancelled) {
			expect(this.#simulation.cancelled.has(id), `${id} is cancelled without cause`).to.equal(true);
		} else if (state === JOB_STATES.failed) {
			const failedRuns = new Map<string, Set<number>>();
			for (const end of this.#endsOf(id, 'failed')) {
				const {occurrence, step, index} = parseTaskName(end.task)!;
				const unit = `${occurrence}.${step}.${job.steps[step]!.isGang ? 0 : index}`;
				failedRuns.set(unit, (failedRuns.get(unit) ?? new Set()).add(end.run));
			}

			const hasCause = [...failedRuns.values()].some(runs => runs.size >= maxAttemptsOf(job)) || this.#simulation.mayGiveUp?.(id) === true;
			expect(hasCause, `${id} is failed without cause`).to.equal(true);
		} else {
			expect(this.#doneSteps(id, job).size, `${id} is completed early`).to.equal(job.occurrences * job.steps.length);
		}
	}

	#endsOf(jobId: string, outcome: string): readonly ObservedEnd[] {
		return this.#simulation.ends.filter(end => end.outcome === outcome && end.task.startsWith(`${jobId}.`));
	}

	/** @returns The steps all of whose tasks have ended as done, as `OCCURRENCE.STEP`. */
	#doneSteps(id: string, job: PlannedJob): ReadonlySet<string> {
		const doneTasks = new Map<string, Set<number>>();
		for (const end of this.#endsOf(id, 'done')) {
			const {occurrence, step, index} = parseTaskName(end.task)!;
			const key = `${occurrence}.${step}`;
			doneTasks.set(key, (doneTasks.get(key) ?? new Set()).add(index));
		}

		return new Set([...doneTasks].filter(([key, tasks]) => {
			const step = job.steps[Number(key.split('.')[1])]!;
			return step.isGang || tasks.size === step.taskCount;
		}).map(([key]) => key));
	}

	#checkWaits(): void {
		const {isCalm, nowMs} = this.#simulation;
		const waiting = isCalm ? [...this.#simulation.jobs].flatMap(([id, job]) => this.#finalStates.has(id) ? [] : this.#listWaiting(id, job)) : [];
		const forgotten = waiting.filter(entry => nowMs - entry.lastRunAtMs >= entry.graceMs && this.#hasSpareCapacity(entry));
		for (const key of this.#waitsMs.keys()) {
			if (forgotten.every(entry => entry.key !== key)) {
				this.#waitsMs.delete(key);
			}
		}

		for (const {key} of forgotten) {
			const waitMs = (this.#waitsMs.get(key) ?? -STEP_MS) + STEP_MS;
			this.#waitsMs.set(key, waitMs);
			expect(waitMs, `${key} waits beside idle capacity at ${nowMs}`).to.be.at.most(MAX_IDLE_WAIT_MS);
		}
	}

	/** Lists what of a job waits: the first ready step if nothing of the job runs, and each lasting task that does not run. */
	#listWaiting(id: string, job: PlannedJob): readonly Waiting[] {
		const {service} = SIMULATION_CONFIG.queues.find(queue => queue.name === job.queue)!;
		const running = new Set(this.#simulation.upWorkers.flatMap(worker => [...worker.runs.keys()]));
		const isRunning = [...running].some(task => task.startsWith(`${id}.`));
		const done = this.#doneSteps(id, job);
		const waiting: Waiting[] = [];
		for (let occurrence = 0; occurrence < job.occurrences; occurrence++) {
			if (this.#simulation.nowMs < job.atMs + (occurrence * INTERVAL_MS)) {
				break;
			}

			for (const [number, step] of job.steps.entries()) {
				if (done.has(`${occurrence}.${number}`) || step.after.some(earlier => !done.has(`${occurrence}.${earlier}`))) {
					continue;
				}

				const names = Array.from({length: step.taskCount}, (_, index) => formatTaskName({
					jobId: id, occurrence, step: number, index,
				}));
				const entries = step.isLasting ? names.filter(name => !running.has(name)) : (isRunning ? [] : [id]);
				waiting.push(...entries.map(key => ({
					key,
					step,
					taskPrefix: `${id}.${occurrence}.${number}.`,
					service,
					needsIdleService: !step.isLasting,
					graceMs: step.isLasting ? LASTING_GRACE_MS : 0,
					lastRunAtMs: this.#lastRunAtMs.get(key) ?? Number.NEGATIVE_INFINITY,
				})));
			}
		}

		return waiting;
	}

	#hasSpareCapacity({step, taskPrefix, service, needsIdleService}: Waiting): boolean {
		const workers = this.#simulation.upWorkers.filter(worker => worker.facts.service === service && worker.facts.state === WORKER_STATES.ready);
		let used = EMPTY_SHAPE;
		let capacity = EMPTY_SHAPE;
		for (const worker of workers) {
			used = addShapes(used, usedBy(worker, this.#simulation));
			capacity = addShapes(capacity, worker.facts.capacity);
		}

		const isHalfIdle = used.cpuMillis * 2 < capacity.cpuMillis && (capacity.accelerators === 0 || used.accelerators * 2 < capacity.accelerators);
		if (needsIdleService && !isHalfIdle) {
			return false;
		}

		let missing = (step.isGang ? step.taskCount : 1) * SPARE_COPIES;
		for (const worker of workers.filter(candidate => step.requiredLabel === undefined || candidate.facts.labels.includes(step.requiredLabel))) {
			let free = subtractShapes(worker.facts.capacity, usedBy(worker, this.#simulation));
			const present = [...worker.runs.keys()].filter(task => task.startsWith(taskPrefix)).length;
			for (let count = present; count < (step.maxPerWorker ?? Number.POSITIVE_INFINITY) && missing > 0 && fitsInto(step.shape, free); count++) {
				free = subtractShapes(free, step.shape);
				missing--;
			}
		}

		return missing <= 0;
	}
}

function maxAttemptsOf(job: PlannedJob): number {
	return SIMULATION_CONFIG.queues.find(queue => queue.name === job.queue)!.maxAttempts;
}

function isSameStep(left: string, right: string): boolean {
	return left.slice(0, left.lastIndexOf('.')) === right.slice(0, right.lastIndexOf('.'));
}

function usedBy(worker: ObservedWorker, simulation: ObservedSimulation): TaskShape {
	let used = EMPTY_SHAPE;
	for (const task of worker.runs.keys()) {
		const {jobId, step} = parseTaskName(task)!;
		used = addShapes(used, simulation.jobs.get(jobId)!.steps[step]!.shape);
	}

	return used;
}
