import {setTimeout as delay} from 'node:timers/promises';
import PQueue from 'p-queue';
import {
	OPEN_JOBS_SCAN_INTERVAL_MS, type Clock, type ControlMessage, type Logger, type JobRow,
} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';
import type {Explanation, GuaranteeAlarm, SchedulerConfig} from '@amaranthsail/scheduler';
import type {OwnerCoreOptions} from './core-context.js';
import type {DurableWriter} from './durable-writer.js';
import {JobReader} from './job-reader.js';
import {OwnerCore, type OwnerCoreStatus} from './owner-core.js';
import type {
	OwnerEffect, OwnerEvent, OwnerMetric, OwnershipValidity,
} from './owner-events.js';

/** Reads and writes of one failure domain that may be under way at once. */
const STORE_CONCURRENCY = 8;

/** Shortest delay between two timer-driven steps. */
const MIN_TICK_DELAY_MS = 5;

/** Longest wait for writes under way when the driver stops. */
const STOP_TIMEOUT_MS = 2000;

/** What an owner driver is made of. */
export type OwnerDriverOptions = {
	readonly core: Omit<OwnerCoreOptions, 'wallOffsetMs'>;
	readonly tables: TableStore;
	readonly write: DurableWriter;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Encodes and sends one message to an agent; losses are allowed. */
	readonly send: (message: ControlMessage, host: string, port: number) => void;
	readonly onMetric: (metric: OwnerMetric) => void;
	/** A write showed another owner. */
	readonly onOwnershipLost: () => void;
};

/** Index rows that the scans of one failure domain read in a second, on average. Seven failure domains then take 700 of the two thousand reads. */
const SCAN_ROWS_PER_S = 100;

/**
 * Decides when the index of open jobs is scanned again. Scans only find jobs whose notification was lost,
 * so a long index may be scanned less often.
 *
 * @param rowCount - Rows of the last scan.
 * @returns Milliseconds until the next one.
 */
export function scanDelayMs(rowCount: number): number {
	return Math.max(OPEN_JOBS_SCAN_INTERVAL_MS, (rowCount / SCAN_ROWS_PER_S) * 1000);
}

/** Connects an owner core to the table store, the datagram socket and the clock. All inputs pass through one queue in order. */
export class OwnerDriver {
	readonly #options: OwnerDriverOptions;
	readonly #core: OwnerCore;
	readonly #inputs = new PQueue({concurrency: 1});
	readonly #store = new PQueue({concurrency: STORE_CONCURRENCY});
	readonly #reader: JobReader;
	readonly #waiters = new Map<string, (row: JobRow | undefined) => void>();
	#waiterCount = 0;
	#timer: NodeJS.Timeout | undefined;
	#scanTimer: NodeJS.Timeout | undefined;
	#isStopped = false;

	/**
	 * @param options - Identity, collaborators and callbacks.
	 */
	constructor(options: OwnerDriverOptions) {
		this.#options = options;
		const {clock} = options;
		this.#core = new OwnerCore({...options.core, wallOffsetMs: clock.wallMs() - clock.monotonicMs()});
		this.#reader = new JobReader({
			tables: options.tables,
			failureDomain: options.core.failureDomain,
			run: async call => this.#store.add(call),
			onRow: event => {
				this.#input(event);
			},
		});
	}

	/** The failure domain. */
	get failureDomain(): string {
		return this.#options.core.failureDomain;
	}

	/** Epoch under which the failure domain is owned. */
	get epoch(): number {
		return this.#options.core.epoch;
	}

	/** Starts recovery: reads all open jobs of the failure domain, and repeats that until it succeeds. Returns at once. */
	start(): void {
		this.#schedule();
		void this.#scan(true);
	}

	/**
	 * Tells the owner that jobs were accepted or changed; their rows are read.
	 *
	 * @param jobIds - The jobs.
	 */
	notify(jobIds: readonly string[]): void {
		void this.#reader.readJobs(jobIds);
	}

	/**
	 * Waits until a job is final.
	 *
	 * @param jobId - The job.
	 * @param timeoutMs - Longest time to wait.
	 * @returns The final row, or undefined when the time is over, the job is unknown or the ownership was lost.
	 */
	async waitForJob(jobId: string, timeoutMs: number): Promise<JobRow | undefined> {
		return this.#wait(jobId, timeoutMs, false);
	}

	/**
	 * Requests the cancellation of jobs.
	 *
	 * @param jobIds - The jobs.
	 * @param timeoutMs - Longest time to wait for the rows.
	 * @returns For each job its row once the cancellation is durable or the job final; undefined when that was not seen in time.
	 */
	async cancel(jobIds: readonly string[], timeoutMs = 5000): Promise<ReadonlyArray<JobRow | undefined>> {
		// A job that was accepted a moment ago may not have been read yet.
		const unknown = jobIds.filter(jobId => this.#core.rowOf(jobId) === undefined);
		await Promise.race([this.#reader.readJobs(unknown), delay(timeoutMs, undefined, {ref: false})]);
		const answers = jobIds.map(async jobId => this.#wait(jobId, timeoutMs, true));
		this.#input({kind: 'cancel', jobIds});
		return Promise.all(answers);
	}

	/**
	 * Lists the jobs that have waited for long without an attempt.
	 *
	 * @param waitedMs - How long at least.
	 * @returns Their rows.
	 */
	waitingFor(waitedMs: number): readonly JobRow[] {
		return this.#core.waitingSince(this.#options.clock.wallMs() - waitedMs);
	}

	/**
	 * Hands waiting jobs over to another failure domain.
	 *
	 * @param jobIds - The jobs.
	 * @param failureDomain - The failure domain that takes them.
	 */
	move(jobIds: readonly string[], failureDomain: string): void {
		this.#input({kind: 'move', jobIds, failureDomain});
	}

	/**
	 * Explains why a job waits.
	 *
	 * @param jobId - The job.
	 * @returns The explanation.
	 */
	explain(jobId: string): Explanation {
		return this.#core.explain(jobId, this.#nowMs());
	}

	/**
	 * Takes a message from an agent; anything but a heartbeat is ignored.
	 *
	 * @param message - The decoded message.
	 * @param remote - The sender's address.
	 */
	handleDatagram(message: ControlMessage, remote: {readonly host: string; readonly port: number}): void {
		if (message.type === 'heartbeat') {
			this.#input({kind: 'heartbeat', message, host: remote.host});
		}
	}

	/**
	 * Puts a configuration in force.
	 *
	 * @param config - What the scheduler takes from it.
	 * @param revision - Its revision.
	 */
	configure(config: SchedulerConfig, revision: number): void {
		this.#input({kind: 'configure', config, revision});
	}

	/**
	 * Takes over a change of the ownership's validity.
	 *
	 * @param validity - The new validity.
	 */
	setValidity(validity: OwnershipValidity): void {
		this.#input({kind: 'ownership', validity});
	}

	/** Notes that the previous owner sends nothing more. */
	previousOwnerGone(): void {
		this.#input({kind: 'previousOwnerGone'});
	}

	/**
	 * Lists the guarantees that cannot be kept on the workers known now.
	 *
	 * @returns The alarms.
	 */
	alarms(): readonly GuaranteeAlarm[] {
		return this.#options.core.scheduler.alarms();
	}

	/**
	 * Counts what the owner holds.
	 *
	 * @returns The counts and the load for routing.
	 */
	status(): OwnerCoreStatus {
		return this.#core.status(this.#nowMs());
	}

	/** Stops new placements and decisions and waits, for a bounded time, for writes under way. */
	async drain(): Promise<void> {
		this.#input({kind: 'drain'});
		await this.#inputs.onIdle();
		await Promise.race([
			this.#store.onIdle(),
			delay(STOP_TIMEOUT_MS, undefined, {ref: false}),
		]);
	}

	/** Stops at once: nothing is sent or written any more, and all waiters are answered without a row. */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#input({kind: 'ownership', validity: {kind: 'lost'}});
		this.#isStopped = true;
		this.#reader.stop();
		clearTimeout(this.#timer);
		clearTimeout(this.#scanTimer);
		this.#store.clear();
		await this.#inputs.onIdle();
		for (const resolve of this.#waiters.values()) {
			resolve(undefined);
		}

		this.#waiters.clear();
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	#input(event: OwnerEvent): void {
		if (this.#isStopped) {
			return;
		}

		void this.#inputs.add(() => {
			this.#carryOut(this.#core.handle(event, this.#nowMs()));
			this.#schedule();
		});
	}

	#schedule(): void {
		clearTimeout(this.#timer);
		if (this.#isStopped) {
			return;
		}

		const nowMs = this.#nowMs();
		const delayMs = Math.max(MIN_TICK_DELAY_MS, this.#core.wakeAtMs(nowMs) - nowMs);
		this.#timer = setTimeout(() => {
			void this.#inputs.add(() => {
				this.#carryOut(this.#core.tick(this.#nowMs()));
				this.#schedule();
			});
		}, delayMs);
	}

	#carryOut(effects: readonly OwnerEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#options.send(effect.message, effect.host, effect.port);
					break;
				}

				case 'write': {
					this.#write(effect.transaction);
					break;
				}

				case 'read': {
					void this.#reader.readJobs(effect.jobIds);
					break;
				}

				case 'answer': {
					this.#waiters.get(effect.waiterId)?.(effect.row);
					this.#waiters.delete(effect.waiterId);
					break;
				}

				case 'metric': {
					this.#options.onMetric(effect.metric);
					break;
				}

				case 'ownershipLost': {
					this.#options.onOwnershipLost();
					break;
				}
			}
		}
	}

	#write(transaction: Parameters<DurableWriter>[0]): void {
		void this.#store.add(async () => {
			const {writeId} = transaction;
			try {
				this.#input({kind: 'writeResult', writeId, result: await this.#options.write(transaction)});
			} catch (error) {
				this.#options.logger.error('a write failed unexpectedly', {writeId, error: String(error)});
				this.#input({kind: 'writeResult', writeId, result: {kind: 'unknown', message: String(error)}});
			}
		});
	}

	/** Reads the index and every job of it that is not held. The first complete pass ends recovery. */
	async #scan(isRecovery: boolean): Promise<void> {
		const rowCount = await this.#reader.readOpenJobs(jobId => this.#core.rowOf(jobId) === undefined);
		if (this.#isStopped) {
			return;
		}

		if (isRecovery) {
			this.#input({kind: 'recoveryComplete'});
		}

		this.#scanTimer = setTimeout(() => {
			void this.#scan(false);
		}, scanDelayMs(rowCount));
	}

	async #wait(jobId: string, timeoutMs: number, forCancel: boolean): Promise<JobRow | undefined> {
		if (this.#isStopped) {
			return undefined;
		}

		this.#waiterCount += 1;
		const waiterId = String(this.#waiterCount);
		return new Promise(resolve => {
			this.#waiters.set(waiterId, resolve);
			this.#input({
				kind: 'wait', waiterId, jobId, untilMs: this.#nowMs() + timeoutMs, forCancel,
			});
		});
	}
}
