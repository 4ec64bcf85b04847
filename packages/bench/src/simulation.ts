import {DECISION_BATCH_DELAY_MS, MAX_TASK_STOP_MS} from '@amaranthsail/core';
import {createScheduler, type Decision, type Ordering, type PlacedTask, type Scheduler} from '@amaranthsail/scheduler';
import {drawArrivals, type Arrival} from './arrivals.js';
import type {Division} from './division.js';
import {EventQueue} from './event-queue.js';
import type {Measures} from './measures.js';
import {Occupancy} from './occupancy.js';
import {Random} from './random.js';
import {SimulationRecorder, type SimulatedJob} from './simulation-recorder.js';
import {ARRIVAL_PERIOD_MS, type Scenario} from './scenario.js';
import {StrictArrivalPolicy} from './strict-arrival-policy.js';

/** Simulated time at which a run ends even if jobs are unfinished. */
const MAX_SIMULATED_MS = 8 * ARRIVAL_PERIOD_MS;

/** Interval of scheduling decisions without a new event, so that wait limits and quarantine probes take effect. */
const TICK_INTERVAL_MS = 1000;

/** Run time of a failing task until it fails. */
const TIME_TO_FAILURE_MS = 1000;

/** The orderings of the policy record, and `strictArrival` as a weaker reference. */
export type BenchOrdering = Ordering | 'strictArrival';

/** Replays generated job arrivals through the real scheduler on a virtual clock. */
export class Simulation {
	readonly #division: Division;
	readonly #scenario: Scenario;
	readonly #scheduler: Scheduler;
	readonly #events = new EventQueue();
	readonly #occupancy = new Occupancy();
	readonly #jobs = new Map<string, SimulatedJob>();
	readonly #recorder: SimulationRecorder;
	readonly #acceleratorCount: number;
	readonly #arrivalCount: number;
	#nowMs = 0;
	#isDecisionDue = false;
	#finishedJobCount = 0;

	/**
	 * @param division - The division.
	 * @param scenario - The scenario.
	 * @param ordering - The ordering to simulate.
	 * @param seed - Seed of the arrivals; equal seeds give equal arrivals for every ordering.
	 */
	constructor(division: Division, scenario: Scenario, ordering: BenchOrdering, seed: number) {
		this.#division = division;
		this.#scenario = scenario;
		this.#scheduler = createScheduler({
			policy: {...division.policy, ordering: ordering === 'strictArrival' ? 'firstFit' : ordering},
			guarantees: division.guarantees,
			accounts: division.accounts.map(({account}) => ({account, weight: 1})),
		}, ordering === 'strictArrival' ? {ordering: new StrictArrivalPolicy()} : {});
		this.#acceleratorCount = this.#addWorkers();
		this.#recorder = new SimulationRecorder(division, scenario, this.#acceleratorCount);
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
				this.#cancelJobs(cancellation.share);
			});
		}

		this.#events.schedule(TICK_INTERVAL_MS, () => {
			this.#tick();
		});
	}

	/**
	 * Runs until all jobs are finished or {@link MAX_SIMULATED_MS} is reached.
	 *
	 * @returns The measures.
	 */
	run(): Measures {
		for (let event = this.#events.next(); event && event.atMs <= MAX_SIMULATED_MS; event = this.#events.next()) {
			this.#recorder.recordInterval(this.#nowMs, event.atMs, this.#occupancy.usedCount);
			this.#nowMs = event.atMs;
			event.run();
		}

		return this.#recorder.computeMeasures(this.#jobs.values(), MAX_SIMULATED_MS);
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
		this.#scheduleDecision();
		if (this.#nowMs < ARRIVAL_PERIOD_MS || this.#finishedJobCount < this.#arrivalCount) {
			this.#events.schedule(this.#nowMs + TICK_INTERVAL_MS, () => {
				this.#tick();
			});
		}
	}

	#scheduleDecision(): void {
		if (this.#isDecisionDue) {
			return;
		}

		this.#isDecisionDue = true;
		this.#events.schedule(this.#nowMs + DECISION_BATCH_DELAY_MS, () => {
			this.#isDecisionDue = false;
			for (const decision of this.#scheduler.decide(this.#nowMs)) {
				this.#applyDecision(decision);
			}
		});
	}

	#submit(arrival: Arrival): void {
		const {jobId} = arrival.job;
		const job: SimulatedJob = {
			arrival, state: 'waiting', remainingMs: arrival.runMs, startedAtMs: 0, attempt: 0, tasks: [],
		};
		this.#jobs.set(jobId, job);
		if (this.#scheduler.submit(arrival.job, this.#nowMs).admitted) {
			this.#recorder.recordQueueChange(job, 1);
			this.#scheduleDecision();
		} else {
			this.#finishJob(job, 'refused');
		}
	}

	#applyDecision(decision: Decision): void {
		const job = this.#jobs.get(decision.jobId)!;
		switch (decision.kind) {
			case 'place': {
				this.#startAttempt(job, decision.tasks);
				break;
			}

			case 'duplicate': {
				this.#startDuplicates(job, decision.tasks);
				break;
			}

			case 'preempt': {
				if (decision.reclaim) {
					this.#recorder.recordReclaim(this.#jobs.get(decision.forJobId)!, this.#nowMs);
				}

				this.#preempt(job, decision.graceMs);
				break;
			}

			case 'refuse': {
				this.#recorder.recordQueueChange(job, -1);
				this.#finishJob(job, 'refused');
				break;
			}
		}
	}

	#startAttempt(job: SimulatedJob, tasks: readonly PlacedTask[]): void {
		const {jobId} = job.arrival.job;
		this.#occupancy.allocate(jobId, tasks);
		this.#recorder.recordQueueChange(job, -1);
		this.#recorder.recordStart(job, this.#nowMs);
		job.state = 'running';
		job.tasks = [...tasks];
		job.startedAtMs = this.#nowMs;
		this.#scheduler.started(jobId, this.#nowMs);
		const failingTask = tasks.find(task => job.arrival.failsEverywhere || this.#isWorkerFailing(task.workerId));
		this.#scheduleForAttempt(job, failingTask ? TIME_TO_FAILURE_MS : job.remainingMs, () => {
			if (failingTask) {
				this.#failAttempt(job, failingTask.workerId);
			} else {
				this.#endAttempt(job, 'completed', []);
				this.#finishJob(job, 'completed');
			}
		});
	}

	#startDuplicates(job: SimulatedJob, tasks: readonly PlacedTask[]): void {
		this.#occupancy.allocate(job.arrival.job.jobId, tasks);
		job.tasks.push(...tasks);
		this.#scheduleForAttempt(job, job.arrival.duplicateRunMs, () => {
			this.#endAttempt(job, 'completed', []);
			this.#finishJob(job, 'completed');
		});
	}

	#isWorkerFailing(workerId: string): boolean {
		const {failingWorkers, failureWindow} = this.#scenario;
		return failingWorkers !== undefined && failureWindow !== undefined
			&& this.#nowMs >= failureWindow[0] && this.#nowMs < failureWindow[1]
			&& Number(workerId.slice(1)) < failingWorkers;
	}

	/** Schedules an event that is dropped if the current attempt has ended by then. */
	#scheduleForAttempt(job: SimulatedJob, afterMs: number, run: () => void): void {
		const {attempt} = job;
		this.#events.schedule(this.#nowMs + afterMs, () => {
			if (job.attempt === attempt) {
				run();
			}
		});
	}

	#endAttempt(job: SimulatedJob, outcome: 'completed' | 'failed' | 'stopped', failedWorkerIds: readonly string[]): void {
		job.attempt++;
		this.#recorder.recordAttemptEnd(job, this.#nowMs);
		this.#occupancy.release(job.tasks);
		job.tasks = [];
		this.#scheduler.ended(job.arrival.job.jobId, outcome, failedWorkerIds, this.#nowMs);
		this.#scheduleDecision();
	}

	#failAttempt(job: SimulatedJob, workerId: string): void {
		this.#endAttempt(job, 'failed', [workerId]);
		if (job.arrival.job.spec.repeatable) {
			this.#requeue(job);
		} else {
			this.#scheduler.withdraw(job.arrival.job.jobId);
			this.#finishJob(job, 'failed');
		}
	}

	#requeue(job: SimulatedJob): void {
		job.state = 'waiting';
		this.#recorder.recordQueueChange(job, 1);
		this.#scheduler.requeue(job.arrival.job.jobId, this.#nowMs);
	}

	/** Simulates a checkpoint that takes half of the grace period and a stop that takes the longest time allowed. */
	#preempt(job: SimulatedJob, graceMs: number): void {
		this.#scheduleForAttempt(job, (graceMs / 2) + MAX_TASK_STOP_MS, () => {
			if (job.arrival.job.spec.checkpointable) {
				job.remainingMs -= this.#nowMs - job.startedAtMs;
			}

			this.#endAttempt(job, 'stopped', []);
			this.#requeue(job);
		});
	}

	#cancelJobs(share: number): void {
		for (const job of this.#jobs.values()) {
			if (job.arrival.cancellationDraw >= share || (job.state !== 'waiting' && job.state !== 'running')) {
				continue;
			}

			if (job.state === 'waiting') {
				this.#recorder.recordQueueChange(job, -1);
				this.#scheduler.withdraw(job.arrival.job.jobId);
				this.#finishJob(job, 'cancelled');
				continue;
			}

			this.#scheduleForAttempt(job, MAX_TASK_STOP_MS, () => {
				this.#endAttempt(job, 'stopped', []);
				this.#scheduler.withdraw(job.arrival.job.jobId);
				this.#finishJob(job, 'cancelled');
			});
		}
	}

	#finishJob(job: SimulatedJob, state: 'completed' | 'failed' | 'refused' | 'cancelled'): void {
		job.state = state;
		job.finishedAtMs = this.#nowMs;
		this.#finishedJobCount++;
	}
}
