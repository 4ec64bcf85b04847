import {type RunOutcome, RUN_OUTCOMES} from '@amaranthsail/pool';

/** A start as a worker has seen it. */
export type RecordedStart = {readonly task: string; readonly run: number; readonly atMs: number; readonly order: number; readonly incarnation: string};

/** An end as a worker has seen it. */
export type RecordedEnd = RecordedStart & {
	readonly sequence: number;
	readonly outcome: RunOutcome;
	/** An acknowledgement has reached it. */
	isAcknowledged: boolean;
	/** The worker's lease expired before that. */
	hasLapsed: boolean;
	/** It has been in an answer to the agent. */
	isListed: boolean;
};

/** What happened on all workers, in order. */
export class RunRecord {
	readonly starts: RecordedStart[] = [];
	readonly ends: RecordedEnd[] = [];
	/** Starts while another run of the task was on a worker that was up, as `TASK#RUN on INCARNATION beside #RUN on INCARNATION`. */
	readonly conflicts: string[] = [];
	/** Called before each start is recorded, so that workers whose lease has expired end their runs first. */
	onStarting?: () => void;
	readonly #nowMs: () => number;
	/** Runs by task, and the worker that each is on. */
	readonly #running = new Map<string, Map<string, number>>();
	#order = 0;

	/** @param nowMs - Reads the time. */
	constructor(nowMs: () => number) {
		this.#nowMs = nowMs;
	}

	/**
	 * Records a start.
	 *
	 * @param incarnation - The worker.
	 * @param task - The task.
	 * @param run - Number of the run.
	 */
	addStart(incarnation: string, task: string, run: number): void {
		this.onStarting?.();
		const holders = this.#running.get(task) ?? new Map<string, number>();
		this.#running.set(task, holders);
		for (const [other, otherRun] of holders) {
			this.conflicts.push(`${task}#${run} on ${incarnation} beside #${otherRun} on ${other}`);
		}

		holders.set(incarnation, run);
		this.starts.push({
			task, run, incarnation, atMs: this.#nowMs(), order: ++this.#order,
		});
	}

	/**
	 * Records an end.
	 *
	 * @param incarnation - The worker.
	 * @param end - The end.
	 * @returns The entry, whose state the worker updates.
	 */
	addEnd(incarnation: string, end: {readonly task: string; readonly run: number; readonly sequence: number; readonly outcome: RunOutcome}): RecordedEnd {
		const recorded: RecordedEnd = {
			...end, incarnation, atMs: this.#nowMs(), order: ++this.#order, isAcknowledged: false, hasLapsed: false, isListed: false,
		};
		this.ends.push(recorded);
		this.#running.get(end.task)?.delete(incarnation);
		return recorded;
	}

	/**
	 * Records that a worker has ended.
	 *
	 * @param incarnation - The worker.
	 */
	addCrash(incarnation: string): void {
		for (const holders of this.#running.values()) {
			holders.delete(incarnation);
		}
	}

	/**
	 * Lists the starts of a task, or of a gang, after an end as done that was acknowledged then or later.
	 *
	 * @param isGang - Whether the tasks of a step are a gang, given the name of one of its tasks.
	 * @returns Each such start as `TASK#RUN on INCARNATION`, with the end before it.
	 */
	listStartsAfterDone(isGang: (task: string) => boolean): readonly string[] {
		const counted = this.ends.filter(end => end.outcome === RUN_OUTCOMES.done && end.isAcknowledged && !end.hasLapsed);
		return this.starts.flatMap(start => {
			const end = counted.find(({task, order}) => order < start.order && unitOf(task, isGang) === unitOf(start.task, isGang));
			return end ? [`${start.task}#${start.run} on ${start.incarnation} after #${end.run} was done on ${end.incarnation}`] : [];
		});
	}

	/** @returns The starts of a job's tasks, as `TASK#RUN`. */
	startsOf(jobId: string): readonly string[] {
		return this.starts.filter(({task}) => task.startsWith(`${jobId}.`)).map(({task, run}) => `${task}#${run}`);
	}
}

function unitOf(task: string, isGang: (task: string) => boolean): string {
	return isGang(task) ? task.slice(0, task.lastIndexOf('.')) : task;
}
