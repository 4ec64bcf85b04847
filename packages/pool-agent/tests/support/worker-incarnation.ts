import {
	type ListedEnd, type OrderOutcome, REFUSALS, type Refusal, RUN_OUTCOMES, type RunOutcome, type WorkerLists, type WorkerOrder,
} from '@amaranthsail/pool';
import type {RecordedEnd, RunRecord} from './run-record.js';
import type {VirtualTime} from './virtual-time.js';

/** Largest number of ends in one answer. */
const MAX_LISTED_ENDS = 500;

/** What a worker does with the number of an acknowledgement. */
export const ACKNOWLEDGEMENTS = {
	/** It keeps the highest number; later ends at or below it are forgotten too. */
	kept: 'kept',
	/** It forgets the ends of that moment. */
	once: 'once',
} as const;

/** Properties of an emulated worker that its incarnations share. */
export type WorkerOptions = {
	/** Longest lease; a longer one is shortened to it at its arrival. */
	readonly maxLeaseMs: number;
	readonly stopMs: number;
	/** Calls that were sent to an incarnation never reach a later one. */
	readonly areCallsBound: boolean;
	readonly acknowledgements: (typeof ACKNOWLEDGEMENTS)[keyof typeof ACKNOWLEDGEMENTS];
	/** Speed of its clock; 0.98 for the slowest one allowed. */
	readonly clockRate: number;
};

/** A run on an emulated worker. */
export type EmulatedRun = {readonly run: number; checkpoint: string; percent: number; workedMs: number; waitedMs: number; wasComplete: boolean; stopsAtMs?: number};

/** A call that renews the lease. */
export type Renewal = {readonly epoch: number; readonly ackSequence: number; readonly leaseUntilMs?: number; readonly waitMs: number};

/** Answer of a worker; undefined if it ended before it answered. */
export type RenewalAnswer = {readonly refusal: Refusal} | {readonly lists: WorkerLists} | undefined;

/** One incarnation of an emulated worker: its clock, fencing token, lease, runs and their ends. */
export class WorkerIncarnation {
	readonly runs = new Map<string, EmulatedRun>();
	readonly id: string;
	readonly bornMs: number;
	/** Its id and start. */
	readonly name: string;
	/** The leases and acknowledgements that have arrived here. */
	readonly renewals: Renewal[] = [];
	leaseUntilMs = 0;
	highestAckSequence = 0;
	readonly #startedAtMs: number;
	readonly #highestEndedRuns = new Map<string, number>();
	#ends: Array<{readonly listed: ListedEnd; readonly recorded: RecordedEnd}> = [];
	#waiters: Array<() => void> = [];
	#fencingToken = 0;
	#sequence = 0;
	#isUp = true;

	readonly #options: WorkerOptions;
	readonly #time: VirtualTime;
	readonly #record: RunRecord;

	/**
	 * @param identity - Id of the worker, and its start as Unix time in milliseconds.
	 * @param options - Its properties.
	 * @param time - Source of time.
	 * @param record - Receives what happens here.
	 */
	constructor({id, bornMs}: {readonly id: string; readonly bornMs: number}, options: WorkerOptions, time: VirtualTime, record: RunRecord) {
		this.#options = options;
		this.#time = time;
		this.#record = record;
		this.id = id;
		this.bornMs = bornMs;
		this.name = `${id}@${bornMs}`;
		this.#startedAtMs = time.nowMs;
	}

	/** Reading of its own clock, which starts with it. */
	get clockMs(): number {
		return Math.floor((this.#time.nowMs - this.#startedAtMs) * this.#options.clockRate);
	}

	/** Number of ends that no acknowledgement has reached. */
	get unacknowledgedEndCount(): number {
		return this.#ends.length;
	}

	/** Ends the incarnation: all runs and ends are forgotten, and no call is answered. */
	kill(): void {
		this.#isUp = false;
		this.#record.addCrash(this.name);
		this.runs.clear();
		this.#wake();
	}

	/** Kills everything once the lease has expired, and completes the stops that are due. */
	tick(): void {
		if (this.clockMs > this.leaseUntilMs) {
			for (const {recorded} of this.#ends) {
				recorded.hasLapsed = true;
			}

			for (const task of this.runs.keys()) {
				this.end(task, RUN_OUTCOMES.lapsed);
			}
		}

		for (const [task, {stopsAtMs}] of this.runs) {
			if (stopsAtMs !== undefined && stopsAtMs <= this.#time.nowMs) {
				this.end(task, RUN_OUTCOMES.stopped);
			}
		}
	}

	/**
	 * Carries out an order.
	 *
	 * @param order - The order.
	 * @param epoch - Its fencing token.
	 * @returns Its outcome.
	 */
	order(order: WorkerOrder, epoch: number): OrderOutcome {
		this.tick();
		if (this.#isFenced(epoch)) {
			return {kind: 'refused', reason: REFUSALS.fenced};
		}

		if (order.kind === 'start') {
			const reason = this.#start(order);
			return reason === undefined ? {kind: 'done'} : {kind: 'refused', reason};
		}

		const present = this.runs.get(order.task);
		if (present?.run === order.run) {
			present.stopsAtMs ??= this.#time.nowMs + this.#options.stopMs;
			this.tick();
		} else {
			this.#recordEnded(order.task, order.run);
		}

		return {kind: 'done'};
	}

	/**
	 * Carries out a renewal of the lease; waits for an end if there is none.
	 *
	 * @param renewal - The renewal.
	 * @returns The lists, or why it is refused.
	 */
	async renew(renewal: Renewal): Promise<RenewalAnswer> {
		this.tick();
		if (this.#isFenced(renewal.epoch)) {
			return {refusal: REFUSALS.fenced};
		}

		this.renewals.push(renewal);
		this.#acknowledge(renewal.ackSequence);
		this.#extendLease(renewal.leaseUntilMs ?? 0);
		if (this.#ends.length === 0 && renewal.waitMs > 0) {
			await Promise.race([
				new Promise<void>(resolve => {
					this.#waiters.push(resolve);
				}),
				this.#time.sleep(renewal.waitMs),
			]);
		}

		return this.#isUp ? {lists: this.#list()} : undefined;
	}

	/**
	 * Ends a run.
	 *
	 * @param task - Its task.
	 * @param outcome - How it ended.
	 */
	end(task: string, outcome: RunOutcome): void {
		const {run, checkpoint} = this.runs.get(task)!;
		this.runs.delete(task);
		this.#recordEnded(task, run);
		const listed: ListedEnd = {
			sequence: ++this.#sequence, task, run, outcome, checkpoint,
		};
		const recorded = this.#record.addEnd(this.name, listed);
		if (listed.sequence <= this.highestAckSequence && this.#options.acknowledgements === ACKNOWLEDGEMENTS.kept) {
			recorded.isAcknowledged = true;
			return;
		}

		this.#ends.push({listed, recorded});
		this.#wake();
	}

	#start({task, run, leaseUntilMs, checkpoint}: WorkerOrder & {readonly kind: 'start'}): Refusal | undefined {
		if (leaseUntilMs < this.clockMs) {
			return REFUSALS.late;
		}

		this.#extendLease(leaseUntilMs);
		const present = this.runs.get(task);
		if (present?.run === run) {
			return undefined;
		}

		if (run <= (this.#highestEndedRuns.get(task) ?? 0) || (present && run < present.run)) {
			return REFUSALS.superseded;
		}

		this.runs.set(task, {
			run, checkpoint, percent: 0, workedMs: 0, waitedMs: 0, wasComplete: false,
		});
		this.#record.addStart(this.name, task, run);
		return undefined;
	}

	#isFenced(epoch: number): boolean {
		if (epoch < this.#fencingToken) {
			return true;
		}

		this.#fencingToken = epoch;
		return false;
	}

	#extendLease(untilMs: number): void {
		this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.clockMs + this.#options.maxLeaseMs));
	}

	#acknowledge(sequence: number): void {
		this.highestAckSequence = Math.max(this.highestAckSequence, sequence);
		for (const {listed, recorded} of this.#ends) {
			recorded.isAcknowledged ||= listed.sequence <= sequence;
		}

		this.#ends = this.#ends.filter(({recorded}) => !recorded.isAcknowledged);
	}

	#recordEnded(task: string, run: number): void {
		this.#highestEndedRuns.set(task, Math.max(run, this.#highestEndedRuns.get(task) ?? 0));
	}

	#list(): WorkerLists {
		const ends = this.#ends.slice(0, MAX_LISTED_ENDS);
		for (const {recorded} of ends) {
			recorded.isListed = true;
		}

		return {
			clockMs: this.clockMs,
			bornMs: this.bornMs,
			running: [...this.runs].map(([task, {run, checkpoint, percent}]) => ({
				task, run, checkpoint, percent,
			})),
			ended: ends.map(({listed}) => listed),
		};
	}

	#wake(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const waiter of waiters) {
			waiter();
		}
	}
}
