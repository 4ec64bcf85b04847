import {DECISION_BATCH_MS, TASK_STOP_MS} from '@amaranthsail/core';
import {createScheduler, type Decision, type Ordering, type PlacedTask, type Scheduler} from '@amaranthsail/scheduler';
import {drawArrivals, type Arrival} from './arrivals.js';
import type {Division} from './division.js';
import {EventQueue} from './event-queue.js';
import type {Measures} from './measures.js';
import {Occupancy} from './occupancy.js';
import {Random} from './random.js';
import {RunRecorder, type RunJob} from './simulation-recorder.js';
import {ARRIVALS_MS, type Scenario} from './scenario.js';
import {StrictArrivalPolicy} from './strict-arrival-policy.js';

/** A run that has not finished its work by then is cut off. */
const LIMIT_MS = 8 * ARRIVALS_MS;

/** How often the scheduler is asked without a new event, so that waits and probes become due. */
const TICK_MS = 1000;

/** How long a failing task runs. */
const FAILURE_MS = 1000;

/** The policies of records, and a weaker reference. */
export type BenchOrdering = Ordering | 'strictArrival';

/** Replays arrivals through the real scheduler on a virtual clock. */
export class Simulation {
	readonly #division: Division;
	readonly #scenario: Scenario;
	readonly #scheduler: Scheduler;
	readonly #events = new EventQueue();
	readonly #occupancy = new Occupancy();
	readonly #jobs = new Map<string, RunJob>();
	readonly #recorder: RunRecorder;
	readonly #accelerators: number;
	readonly #arrivalCount: number;
	#nowMs = 0;
	#isDecisionDue = false;
	#finalCount = 0;

	/**
	 * @param division - The division.
	 * @param scenario - The scenario.
	 * @param ordering - The policy.
	 * @param seed - The seed; equal seeds give equal arrivals for every policy.
	 */
	constructor(division: Division, scenario: Scenario, ordering: BenchOrdering, seed: number) {
		this.#division = division;
		this.#scenario = scenario;
		this.#scheduler = createScheduler({
			policy: {...division.policy, ordering: ordering === 'strictArrival' ? 'firstFit' : ordering},
			guarantees: division.guarantees,
			accounts: division.accounts.map(({account}) => ({account, weight: 1})),
		}, 0, ordering === 'strictArrival' ? {ordering: new StrictArrivalPolicy()} : {});
		this.#accelerators = this.#addWorkers();
		this.#recorder = new RunRecorder(division, scenario, this.#accelerators);
		const arrivals = drawArrivals(division, scenario, new Random(seed));
		this.#arrivalCount = arrivals.length;
		for (const arrival of arrivals) {
			this.#events.schedule(arrival.job.submittedAtMs, () => {
				this.#submit(arrival);
			});
		}

		const {cancellation} = scenario;
		if (cancellation) {
			this.#events.schedule(cancellation.atMs, () => {
				this.#cancelWave(cancellation.share);
			});
		}

		this.#events.schedule(TICK_MS, () => {
			this.#tick();
		});
	}

	/**
	 * Runs until the work is done or the limit is reached.
	 *
	 * @returns The measures.
	 */
	run(): Measures {
		for (let event = this.#events.next(); event && event.atMs <= LIMIT_MS; event = this.#events.next()) {
			this.#recorder.pass(this.#nowMs, event.atMs, this.#occupancy.inUse);
			this.#nowMs = event.atMs;
			event.run();
		}

		return this.#recorder.measures(this.#jobs.values(), LIMIT_MS);
	}

	#addWorkers(): number {
		let index = 0;
		for (const [rack, size] of this.#division.rackSizes.entries()) {
			for (let count = 0; count < size; count++) {
				const workerId = `w${index++}`;
				this.#scheduler.upsertWorker({
					workerId,
					rack: `r${rack}`,
					failureDomain: this.#division.guarantees[0]!.failureDomain,
					capacity: this.#division.capacity,
					endpoints: [{endpointId: `${workerId}/endpoint`, service: this.#division.service, leaving: false}],
				}, 0);
			}
		}

		return index * this.#division.capacity.accelerators;
	}

	#tick(): void {
		this.#decideSoon();
		if (this.#nowMs < ARRIVALS_MS || this.#finalCount < this.#arrivalCount) {
			this.#events.schedule(this.#nowMs + TICK_MS, () => {
				this.#tick();
			});
		}
	}

	#decideSoon(): void {
		if (this.#isDecisionDue) {
			return;
		}

		this.#isDecisionDue = true;
		this.#events.schedule(this.#nowMs + DECISION_BATCH_MS, () => {
			this.#isDecisionDue = false;
			for (const decision of this.#scheduler.decide(this.#nowMs)) {
				this.#apply(decision);
			}
		});
	}

	#submit(arrival: Arrival): void {
		const {jobId} = arrival.job;
		const job: RunJob = {
			arrival, phase: 'waiting', remainingMs: arrival.runMs, startedAtMs: 0, generation: 0, tasks: [],
		};
		this.#jobs.set(jobId, job);
		if (this.#scheduler.submit(arrival.job, this.#nowMs).admitted) {
			this.#recorder.queueChanged(job, 1);
			this.#decideSoon();
		} else {
			this.#finish(job, 'refused');
		}
	}

	#apply(decision: Decision): void {
		const job = this.#jobs.get(decision.jobId)!;
		switch (decision.kind) {
			case 'place': {
				this.#start(job, decision.tasks);
				break;
			}

			case 'duplicate': {
				this.#startSecond(job, decision.tasks);
				break;
			}

			case 'preempt': {
				if (decision.reclaim) {
					this.#recorder.reclaimBegins(this.#jobs.get(decision.forJobId)!, this.#nowMs);
				}

				this.#preempt(job, decision.graceMs);
				break;
			}

			case 'refuse': {
				this.#recorder.queueChanged(job, -1);
				this.#finish(job, 'refused');
				break;
			}
		}
	}

	#start(job: RunJob, tasks: readonly PlacedTask[]): void {
		const {jobId} = job.arrival.job;
		this.#occupancy.take(jobId, tasks);
		this.#recorder.queueChanged(job, -1);
		this.#recorder.started(job, this.#nowMs);
		job.phase = 'running';
		job.tasks = [...tasks];
		job.startedAtMs = this.#nowMs;
		this.#scheduler.started(jobId, this.#nowMs);
		const failing = tasks.find(task => job.arrival.failsEverywhere || this.#isFailing(task.workerId));
		this.#inGeneration(job, failing ? FAILURE_MS : job.remainingMs, () => {
			if (failing) {
				this.#fail(job, failing.workerId);
			} else {
				this.#end(job, 'completed', []);
				this.#finish(job, 'completed');
			}
		});
	}

	#startSecond(job: RunJob, tasks: readonly PlacedTask[]): void {
		this.#occupancy.take(job.arrival.job.jobId, tasks);
		job.tasks.push(...tasks);
		this.#inGeneration(job, job.arrival.secondRunMs, () => {
			this.#end(job, 'completed', []);
			this.#finish(job, 'completed');
		});
	}

	#isFailing(workerId: string): boolean {
		const {failingWorkers, failureWindow} = this.#scenario;
		return failingWorkers !== undefined && failureWindow !== undefined
			&& this.#nowMs >= failureWindow[0] && this.#nowMs < failureWindow[1]
			&& Number(workerId.slice(1)) < failingWorkers;
	}

	/** Schedules something that happens only if the present attempt is still running then. */
	#inGeneration(job: RunJob, afterMs: number, run: () => void): void {
		const {generation} = job;
		this.#events.schedule(this.#nowMs + afterMs, () => {
			if (job.generation === generation) {
				run();
			}
		});
	}

	#end(job: RunJob, end: 'completed' | 'failed' | 'stopped', failedWorkerIds: readonly string[]): void {
		job.generation++;
		this.#recorder.ended(job, this.#nowMs);
		this.#occupancy.free(job.tasks);
		job.tasks = [];
		this.#scheduler.ended(job.arrival.job.jobId, end, failedWorkerIds, this.#nowMs);
		this.#decideSoon();
	}

	#fail(job: RunJob, workerId: string): void {
		this.#end(job, 'failed', [workerId]);
		if (job.arrival.job.spec.repeatable) {
			this.#requeue(job);
		} else {
			this.#scheduler.withdraw(job.arrival.job.jobId);
			this.#finish(job, 'failed');
		}
	}

	#requeue(job: RunJob): void {
		job.phase = 'waiting';
		this.#recorder.queueChanged(job, 1);
		this.#scheduler.requeue(job.arrival.job.jobId, this.#nowMs);
	}

	/** A checkpoint takes half of the grace; the stop takes as long as it may. */
	#preempt(job: RunJob, graceMs: number): void {
		this.#inGeneration(job, (graceMs / 2) + TASK_STOP_MS, () => {
			if (job.arrival.job.spec.checkpointable) {
				job.remainingMs -= this.#nowMs - job.startedAtMs;
			}

			this.#end(job, 'stopped', []);
			this.#requeue(job);
		});
	}

	#cancelWave(share: number): void {
		for (const job of this.#jobs.values()) {
			if (job.arrival.cancelDraw >= share || (job.phase !== 'waiting' && job.phase !== 'running')) {
				continue;
			}

			if (job.phase === 'waiting') {
				this.#recorder.queueChanged(job, -1);
				this.#scheduler.withdraw(job.arrival.job.jobId);
				this.#finish(job, 'cancelled');
				continue;
			}

			this.#inGeneration(job, TASK_STOP_MS, () => {
				this.#end(job, 'stopped', []);
				this.#scheduler.withdraw(job.arrival.job.jobId);
				this.#finish(job, 'cancelled');
			});
		}
	}

	#finish(job: RunJob, phase: 'completed' | 'failed' | 'refused' | 'cancelled'): void {
		job.phase = phase;
		job.finishedAtMs = this.#nowMs;
		this.#finalCount++;
	}
}
