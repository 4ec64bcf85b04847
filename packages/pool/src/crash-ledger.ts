import type {WorkerCrash} from './crash-record.js';
import type {Job, Task} from './job-model.js';
import type {PoolContext} from './pool-context.js';
import type {RunLifecycle} from './run-lifecycle.js';
import type {TrackedWorker} from './tracked-worker.js';
import {crashWeightOf, isCrashingTask, listCrashEvidence} from './worker-crash.js';

/** Bounds the row of a task that loses one worker after another without a crash; more than any task has confirmed crashes. */
const MAX_STORED_CRASHES = 8;

/**
 * Counts the workers that crash under a task, and gives a task up that crashes one worker after another.
 *
 * A worker crashes with all its runs, of which at most one is the cause. So the crashes of a task that is given up
 * weigh nothing for the other tasks from then on; they only count towards the bound on all crashes of a task, as the
 * task that was given up may have been another victim.
 */
export class CrashLedger {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #onGivenUp: (job: Job) => void;
	/** Incarnations that are stored with a task and not confirmed; most reports are from others. */
	readonly #lostIncarnations = new Set<string>();

	/**
	 * @param context - State of the pool.
	 * @param runs - Stores the crashes with their task.
	 * @param onGivenUp - Called when a task of the job is given up.
	 */
	constructor(context: PoolContext, runs: RunLifecycle, onGivenUp: (job: Job) => void) {
		this.#context = context;
		this.#runs = runs;
		this.#onGivenUp = onGivenUp;
	}

	/**
	 * Adds a worker that is being declared lost to the crashes of the tasks that may have crashed it. The crashes are
	 * stored with the ends of the runs.
	 *
	 * @param worker - The worker; its runs have not ended yet.
	 */
	recordLoss(worker: TrackedWorker): void {
		for (const [{task}, evidence] of listCrashEvidence(worker)) {
			if (!task.isDone) {
				task.crashes = limitCrashes([...withoutCrash(task, worker.incarnation), {life: worker.incarnation, evidence, isConfirmed: false}]);
				this.#context.crashSuspects.add(task);
				this.#lostIncarnations.add(worker.incarnation);
			}
		}
	}

	/**
	 * Confirms that a lost worker has crashed, and gives up the tasks that have crashed too many.
	 *
	 * @param incarnation - The worker's incarnation.
	 */
	confirm(incarnation: string): void {
		if (!this.#lostIncarnations.delete(incarnation)) {
			return;
		}

		const tasks = this.#suspectsOf(incarnation);
		for (const task of tasks) {
			this.#replaceCrashes(task, task.crashes.map(crash => (crash.life === incarnation ? {...crash, isConfirmed: true} : crash)));
		}

		for (const task of tasks.toSorted((left, right) => crashWeightOf(right.crashes) - crashWeightOf(left.crashes))) {
			// An earlier task of this loop may have been found to be the cause.
			if (isCrashingTask(task.crashes)) {
				this.#giveUp(task);
			}
		}
	}

	/**
	 * Takes a lost worker off the crashes of all tasks.
	 *
	 * @param incarnation - Incarnation of a worker that has not crashed.
	 */
	withdraw(incarnation: string): void {
		if (!this.#lostIncarnations.delete(incarnation)) {
			return;
		}

		for (const task of this.#suspectsOf(incarnation)) {
			this.#replaceCrashes(task, withoutCrash(task, incarnation));
		}
	}

	/** @param task - A task whose stored crashes have been restored. */
	restore(task: Task): void {
		if (task.crashes.length > 0) {
			this.#context.crashSuspects.add(task);
		}

		for (const {life, isConfirmed} of task.crashes) {
			if (!isConfirmed) {
				this.#lostIncarnations.add(life);
			}
		}
	}

	#giveUp(task: Task): void {
		const {job} = task.step;
		this.#context.log('task given up', {job: job.id, task: task.name, reason: 'crashes its workers', crashes: task.crashes});
		for (const {life, isConfirmed} of task.crashes) {
			if (isConfirmed) {
				this.#explain(life, job);
			}
		}

		this.#onGivenUp(job);
	}

	#explain(incarnation: string, cause: Job): void {
		for (const task of this.#suspectsOf(incarnation)) {
			if (task.step.job !== cause) {
				this.#replaceCrashes(task, task.crashes.map(crash => (crash.life === incarnation ? {...crash, isExplained: true} : crash)));
			}
		}
	}

	#replaceCrashes(task: Task, crashes: readonly WorkerCrash[]): void {
		task.crashes = crashes;
		this.#runs.storeTask(task);
		if (crashes.length === 0) {
			this.#context.crashSuspects.delete(task);
		}
	}

	#suspectsOf(incarnation: string): readonly Task[] {
		const tasks: Task[] = [];
		for (const task of this.#context.crashSuspects) {
			if (task.isDone || task.step.job.isEnding) {
				this.#context.crashSuspects.delete(task);
			} else if (task.crashes.some(crash => crash.life === incarnation)) {
				tasks.push(task);
			}
		}

		return tasks;
	}
}

function withoutCrash(task: Task, incarnation: string): readonly WorkerCrash[] {
	return task.crashes.filter(crash => crash.life !== incarnation);
}

/** Drops the oldest loss that nothing has confirmed: most workers that never come back did not crash. */
function limitCrashes(crashes: readonly WorkerCrash[]): readonly WorkerCrash[] {
	return crashes.length > MAX_STORED_CRASHES ? crashes.toSpliced(crashes.findIndex(crash => !crash.isConfirmed), 1) : crashes;
}
