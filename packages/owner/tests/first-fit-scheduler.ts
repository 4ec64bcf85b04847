import type {UsageReport, WorkerFacts} from '@amaranthsail/core';
import type {
	AttemptEnd, Decision, Explanation, GuaranteeAlarm, PlacedTask, Refusal, Scheduler, SchedulerJob,
} from '@amaranthsail/scheduler';

type JobEntry = {readonly job: SchedulerJob; state: 'queued' | 'placed' | 'ended'; tasks: readonly PlacedTask[]; readonly failed: Set<string>};

/** Places each task of a job on another worker with a free slot, in the order of the workers. Decisions can be injected. */
export class FirstFitScheduler implements Scheduler {
	readonly ends: Array<{readonly jobId: string; readonly end: AttemptEnd}> = [];
	readonly injectedDecisions: Decision[] = [];
	readonly usable = new Map<string, boolean>();
	refusal: Refusal | undefined;
	readonly #workers = new Map<string, WorkerFacts>();
	readonly #jobs = new Map<string, JobEntry>();

	configure(): void {
		// Placement does not depend on the configuration.
	}

	upsertWorker(facts: WorkerFacts): void {
		this.#workers.set(facts.workerId, facts);
		this.usable.set(facts.workerId, this.usable.get(facts.workerId) ?? true);
	}

	setWorkerUsable(workerId: string, usable: boolean): void {
		this.usable.set(workerId, usable);
	}

	removeWorker(workerId: string): void {
		this.#workers.delete(workerId);
	}

	submit(job: SchedulerJob): ReturnType<Scheduler['submit']> {
		if (this.refusal !== undefined) {
			return {admitted: false, refusal: this.refusal};
		}

		this.#jobs.set(job.jobId, {
			job, state: 'queued', tasks: [], failed: new Set(job.failedWorkers),
		});
		return {admitted: true};
	}

	restore(job: SchedulerJob, tasks: readonly PlacedTask[]): void {
		this.#jobs.set(job.jobId, {
			job, state: 'placed', tasks, failed: new Set(job.failedWorkers),
		});
	}

	requeue(jobId: string): void {
		const entry = this.#jobs.get(jobId)!;
		if (entry.state === 'placed') {
			throw new Error(`job ${jobId} was put back into the queue while it is placed`);
		}

		entry.state = 'queued';
	}

	withdraw(jobId: string): void {
		if (this.#jobs.get(jobId)?.state === 'placed') {
			throw new Error(`job ${jobId} was withdrawn while it is placed`);
		}

		this.#jobs.delete(jobId);
	}

	started(): void {
		// Run times are not estimated.
	}

	ended(jobId: string, end: AttemptEnd, failedWorkerIds: readonly string[]): void {
		const entry = this.#jobs.get(jobId)!;
		entry.state = 'ended';
		entry.tasks = [];
		for (const workerId of failedWorkerIds) {
			entry.failed.add(workerId);
		}

		this.ends.push({jobId, end});
	}

	reportUsage(_usage: UsageReport): void {
		// Usage is not considered.
	}

	decide(): readonly Decision[] {
		const decisions = this.injectedDecisions.splice(0);
		for (const [jobId, entry] of this.#jobs) {
			const tasks = entry.state === 'queued' ? this.#findPlaces(entry) : undefined;
			if (tasks !== undefined) {
				entry.state = 'placed';
				entry.tasks = tasks;
				decisions.push({kind: 'place', jobId, tasks});
			}
		}

		return decisions;
	}

	explain(jobId: string): Explanation {
		return {
			jobId, state: this.#jobs.has(jobId) ? 'waiting' : 'unknown_job', refusals: [], summary: '',
		};
	}

	alarms(): readonly GuaranteeAlarm[] {
		return [];
	}

	load(): ReturnType<Scheduler['load']> {
		return {
			waitingJobs: [...this.#jobs.values()].filter(({state}) => state === 'queued').length, waitingByAccount: {}, idleAccelerators: 0, totalAccelerators: 0, largestFreeBlock: 0, services: [],
		};
	}

	#findPlaces({job, failed}: JobEntry): readonly PlacedTask[] | undefined {
		const usedWorkerIds = [...this.#jobs.values()].flatMap(({tasks}) => tasks.map(({workerId}) => workerId));
		const freeWorkers = [...this.#workers.values()].filter(({workerId, capacity, endpoints}) =>
			this.usable.get(workerId) && !failed.has(workerId) && endpoints.length > 0 && usedWorkerIds.filter(id => id === workerId).length < capacity.slots);
		return freeWorkers.length < job.spec.taskCount
			? undefined
			: freeWorkers.slice(0, job.spec.taskCount).map(({workerId, endpoints}, taskIndex) => ({
				taskIndex, workerId, endpointId: endpoints[0]!.endpointId, accelerators: [],
			}));
	}
}
