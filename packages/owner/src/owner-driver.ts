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

/** Concurrent reads and writes of one failure domain. */
const MAX_CONCURRENT_STORE_CALLS = 8;

/** Shortest delay between two timer ticks. */
const MIN_TICK_DELAY_MS = 5;

/** Longest wait for pending store calls when the driver drains. */
const DRAIN_TIMEOUT_MS = 2000;

/** Options of an owner driver. */
export type OwnerDriverOptions = {
	readonly core: Omit<OwnerCoreOptions, 'wallOffsetMs'>;
	readonly tables: TableStore;
	readonly write: DurableWriter;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Encodes and sends one message to an agent; losses are allowed. */
	readonly send: (message: ControlMessage, host: string, port: number) => void;
	readonly onMetric: (metric: OwnerMetric) => void;
	/** Called when a write failed because another process owns the failure domain. */
	readonly onOwnershipLost: () => void;
};

/** Average rate of index rows that the scans of one failure domain read. Seven failure domains then use 700 of the 2000 reads per second. */
const SCAN_ROWS_PER_SECOND = 100;

/**
 * Computes the delay until the next scan of the index of open jobs. Scans only find jobs whose notification was lost,
 * so a long index may be scanned less often.
 *
 * @param rowCount - Number of index rows read by the last scan.
 * @returns Milliseconds until the next one.
 */
export function scanDelayMs(rowCount: number): number {
	return Math.max(OPEN_JOBS_SCAN_INTERVAL_MS, (rowCount / SCAN_ROWS_PER_SECOND) * 1000);
}

/** Connects an owner core to the table store, the datagram socket and the clock. One queue passes all events to the core in order. */
export class OwnerDriver {
	readonly #options: OwnerDriverOptions;
	readonly #core: OwnerCore;
	readonly #eventQueue = new PQueue({concurrency: 1});
	readonly #storeCalls = new PQueue({concurrency: MAX_CONCURRENT_STORE_CALLS});
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
			runStoreCall: async call => this.#storeCalls.add(call),
			onRow: event => {
				this.#enqueueEvent(event);
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

	/** Starts recovery in the background: reads all open jobs of the failure domain, and repeats failed reads until they succeed. */
	start(): void {
		this.#scheduleTick();
		void this.#scan(true);
	}

	/**
	 * Notifies the owner that jobs were accepted or changed, so that it reads their rows.
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
	 * @returns The final row, or undefined on a timeout, when the job is unknown, or when the ownership was lost.
	 */
	async waitForJob(jobId: string, timeoutMs: number): Promise<JobRow | undefined> {
		return this.#waitForRow(jobId, timeoutMs, false);
	}

	/**
	 * Requests the cancellation of jobs.
	 *
	 * @param jobIds - The jobs.
	 * @param timeoutMs - Longest time to wait for the rows.
	 * @returns For each job, its row once the cancellation is durable or the job is final; undefined on a timeout.
	 */
	async cancel(jobIds: readonly string[], timeoutMs = 5000): Promise<ReadonlyArray<JobRow | undefined>> {
		// The row of a job that was just accepted may not have been read yet.
		const unknownJobIds = jobIds.filter(jobId => this.#core.rowOf(jobId) === undefined);
		await Promise.race([this.#reader.readJobs(unknownJobIds), delay(timeoutMs, undefined, {ref: false})]);
		const answers = jobIds.map(async jobId => this.#waitForRow(jobId, timeoutMs, true));
		this.#enqueueEvent({kind: 'cancel', jobIds});
		return Promise.all(answers);
	}

	/**
	 * Lists the jobs that have waited for at least a given time without an attempt.
	 *
	 * @param waitedMs - Minimum time since acceptance.
	 * @returns Their rows.
	 */
	waitingFor(waitedMs: number): readonly JobRow[] {
		return this.#core.jobsWaitingSince(this.#options.clock.wallMs() - waitedMs);
	}

	/**
	 * Moves waiting jobs to another failure domain.
	 *
	 * @param jobIds - The jobs.
	 * @param failureDomain - The target failure domain.
	 */
	move(jobIds: readonly string[], failureDomain: string): void {
		this.#enqueueEvent({kind: 'move', jobIds, failureDomain});
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
	 * Handles a message from an agent; messages other than heartbeats are ignored.
	 *
	 * @param message - The decoded message.
	 * @param remote - The sender's address.
	 */
	handleDatagram(message: ControlMessage, remote: {readonly host: string; readonly port: number}): void {
		if (message.type === 'heartbeat') {
			this.#enqueueEvent({kind: 'heartbeat', message, host: remote.host});
		}
	}

	/**
	 * Applies a configuration.
	 *
	 * @param config - The scheduler's part of the configuration.
	 * @param revision - Its revision.
	 */
	configure(config: SchedulerConfig, revision: number): void {
		this.#enqueueEvent({kind: 'configure', config, revision});
	}

	/**
	 * Applies a change of the ownership's validity.
	 *
	 * @param validity - The new validity.
	 */
	setValidity(validity: OwnershipValidity): void {
		this.#enqueueEvent({kind: 'ownership', validity});
	}

	/** Notifies the owner that the previous owner sends nothing more. */
	notifyPreviousOwnerGone(): void {
		this.#enqueueEvent({kind: 'previousOwnerGone'});
	}

	/**
	 * Lists the guarantees that cannot be kept on the currently known workers.
	 *
	 * @returns The alarms.
	 */
	alarms(): readonly GuaranteeAlarm[] {
		return this.#options.core.scheduler.alarms();
	}

	/**
	 * Summarizes the state of the owner.
	 *
	 * @returns Counts, the state of the ownership and configuration revisions.
	 */
	status(): OwnerCoreStatus {
		return this.#core.status(this.#nowMs());
	}

	/** Stops new placements and decisions, and waits a bounded time for pending store calls. */
	async drain(): Promise<void> {
		this.#enqueueEvent({kind: 'drain'});
		await this.#eventQueue.onIdle();
		await Promise.race([
			this.#storeCalls.onIdle(),
			delay(DRAIN_TIMEOUT_MS, undefined, {ref: false}),
		]);
	}

	/** Stops at once: nothing more is sent or written, and all waiters are answered without a row. */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#enqueueEvent({kind: 'ownership', validity: {kind: 'lost'}});
		this.#isStopped = true;
		this.#reader.stop();
		clearTimeout(this.#timer);
		clearTimeout(this.#scanTimer);
		this.#storeCalls.clear();
		await this.#eventQueue.onIdle();
		for (const resolve of this.#waiters.values()) {
			resolve(undefined);
		}

		this.#waiters.clear();
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	#enqueueEvent(event: OwnerEvent): void {
		if (this.#isStopped) {
			return;
		}

		void this.#eventQueue.add(() => {
			this.#applyEffects(this.#core.handle(event, this.#nowMs()));
			this.#scheduleTick();
		});
	}

	#scheduleTick(): void {
		clearTimeout(this.#timer);
		if (this.#isStopped) {
			return;
		}

		const nowMs = this.#nowMs();
		const delayMs = Math.max(MIN_TICK_DELAY_MS, this.#core.nextTickAtMs(nowMs) - nowMs);
		this.#timer = setTimeout(() => {
			void this.#eventQueue.add(() => {
				this.#applyEffects(this.#core.tick(this.#nowMs()));
				this.#scheduleTick();
			});
		}, delayMs);
	}

	#applyEffects(effects: readonly OwnerEffect[]): void {
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
		void this.#storeCalls.add(async () => {
			const {writeId} = transaction;
			try {
				this.#enqueueEvent({kind: 'writeResult', writeId, result: await this.#options.write(transaction)});
			} catch (error) {
				this.#options.logger.error('a write failed unexpectedly', {writeId, error: String(error)});
				this.#enqueueEvent({kind: 'writeResult', writeId, result: {kind: 'unknown', message: String(error)}});
			}
		});
	}

	/** Scans the index of open jobs and reads the rows of unknown jobs. The first complete scan ends recovery. */
	async #scan(isRecovery: boolean): Promise<void> {
		const rowCount = await this.#reader.readOpenJobs(jobId => this.#core.rowOf(jobId) === undefined);
		if (this.#isStopped) {
			return;
		}

		if (isRecovery) {
			this.#enqueueEvent({kind: 'recoveryComplete'});
		}

		this.#scanTimer = setTimeout(() => {
			void this.#scan(false);
		}, scanDelayMs(rowCount));
	}

	async #waitForRow(jobId: string, timeoutMs: number, isForCancellation: boolean): Promise<JobRow | undefined> {
		if (this.#isStopped) {
			return undefined;
		}

		this.#waiterCount += 1;
		const waiterId = String(this.#waiterCount);
		return new Promise(resolve => {
			this.#waiters.set(waiterId, resolve);
			this.#enqueueEvent({
				kind: 'wait', waiterId, jobId, expiresAtMs: this.#nowMs() + timeoutMs, isForCancellation,
			});
		});
	}
}
