import type {Clock, Logger} from '@amaranthsail/core';
import {
	cancellationKey, type JobRow, type JobState, type PoolStore, type StoredJob, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import type {ProcessMetrics, RouteAnswer} from '@amaranthsail/pool-runtime';
import {CancellationBudget} from './cancellation-budget.js';
import {planCancellation} from './cancellation-plan.js';
import type {ConfigFollower} from './config-follower.js';
import {EntryCalls} from './entry-calls.js';
import type {JobRequestOutcome} from './job-request-outcome.js';
import type {RelayRequest, StoredNotice} from './peer-messages.js';
import type {PoolLeader} from './pool-leader.js';
import {RequestExecutor, type StoreCallFailure} from './request-executor.js';
import {jobRowRange, readStoredJobState} from './stored-job-state.js';
import {judgeSubmissionConflict, submitOutcome} from './submission-conflict.js';

/** How often a write is planned anew because a row that it depends on has changed; few accounts use the same id. */
const MAX_WRITE_ATTEMPTS = 4;

/** A job to be stored. */
export type SubmitRequest = {
	/** The id that the caller chose. */
	readonly jobId: string;
	readonly row: JobRow;
	/** Row of the configuration that the request was checked against. */
	readonly configRow: Pick<StoredRow, 'table' | 'key' | 'version'>;
	/** Time for retries while nothing can have been stored. */
	readonly budgetMs: number;
	/** Time for retries while the outcome of an unanswered call is unknown. */
	readonly deadlineMs: number;
};

/** Dependencies of {@link JobService}. */
export type JobServiceDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly config: ConfigFollower;
	/** The leader in this process, while it knows the stored state. */
	readonly leader: () => PoolLeader | undefined;
	/** A job that this process knows to be stored, whether or not it still leads. */
	readonly storedJob: (jobId: string) => StoredJob | undefined;
	readonly leaderAddress: () => string | undefined;
	/** Addresses of other entries: the leader first, then those heard from most recently, then the seeds. */
	readonly entries: () => readonly string[];
};

/** Accepts and cancels jobs in the store, and looks up their state. */
export class JobService {
	readonly #deps: JobServiceDependencies;
	readonly #calls: EntryCalls;
	readonly #executor: RequestExecutor;
	readonly #cancellationBudget: CancellationBudget;

	/** @param deps - Dependencies. */
	constructor(deps: JobServiceDependencies) {
		this.#deps = deps;
		this.#calls = new EntryCalls(deps.clock, deps.logger);
		this.#cancellationBudget = new CancellationBudget(deps.clock);
		this.#executor = new RequestExecutor({
			store: deps.store, clock: deps.clock, logger: deps.logger, metrics: deps.metrics, config: deps.config, calls: this.#calls, entries: deps.entries,
		});
	}

	/** From now on nothing is written; writes in progress still get their answers. */
	stop(): void {
		this.#executor.stop();
	}

	/** @returns Whether the job may have been stored, or may still be, by a request with an unknown outcome. */
	maySubmitTakeEffect(jobId: string): boolean {
		return this.#executor.mayTakeEffect(jobId);
	}

	/** @returns Whether the cancellation may have been stored, or may still be, by a request with an unknown outcome. */
	mayCancelTakeEffect(jobId: string): boolean {
		return this.#executor.mayTakeEffect(cancellationKey(jobId));
	}

	/**
	 * Stores a job, if the configuration that it was checked against is still the newest.
	 *
	 * @param request - The job and the configuration that it was checked against.
	 * @param mayRelay - Whether the request may be relayed to other entries.
	 * @returns The outcome.
	 */
	async submit(request: SubmitRequest, mayRelay = true): Promise<JobRequestOutcome> {
		const {jobId, row, configRow, budgetMs, deadlineMs} = request;
		return this.#executor.executeWrite({
			budgetMs,
			deadlineMs,
			write: {rowKey: jobId, configRowVersion: configRow.version},
			knownOutcome: () => {
				const job = this.#deps.storedJob(jobId);
				return job && submitOutcome(job.account === row.account);
			},
			makeRelayRequest: mayRelay ? remainingMs => ({kind: 'submit', jobId, row, configRowVersion: configRow.version, budgetMs: remainingMs}) : undefined,
			callStore: async timeoutMs => this.#storeJob(request, timeoutMs),
		});
	}

	/**
	 * Stores the cancellation of a job. If the store has no such job, a tombstone under its key keeps every earlier write of
	 * it from taking effect.
	 *
	 * @param jobId - The job.
	 * @param account - Account of the caller.
	 * @param budgetMs - Time for retries.
	 * @param mayRelay - Whether the request may be relayed to other entries.
	 * @returns The outcome.
	 */
	async cancel(jobId: string, account: string, budgetMs: number, mayRelay = true): Promise<JobRequestOutcome> {
		return this.#executor.executeWrite({
			budgetMs,
			deadlineMs: budgetMs,
			write: {rowKey: cancellationKey(jobId)},
			knownOutcome: () => {
				const job = this.#deps.storedJob(jobId);
				return job?.account === account && (job.isCancelled || job.hasEnded) ? {kind: 'accepted'} : undefined;
			},
			makeRelayRequest: mayRelay ? remainingMs => ({kind: 'cancel', jobId, account, budgetMs: remainingMs}) : undefined,
			callStore: async timeoutMs => this.#storeCancellation(jobId, account, timeoutMs),
		});
	}

	/**
	 * Looks up the state of a job: at the leader, or in the store when the leader does not know it.
	 *
	 * @param jobId - The job.
	 * @param account - Account of the caller.
	 * @param budgetMs - Time for retries.
	 * @param mayRelay - Whether the request may be relayed to other entries.
	 * @returns The state, that there is no such job, or that the store could not be read.
	 */
	async state(jobId: string, account: string, budgetMs: number, mayRelay = true): Promise<JobRequestOutcome> {
		const known = await this.#stateFromLeader(jobId);
		if (known) {
			return known.account === account ? {kind: 'state', state: known.state} : {kind: 'no_such_job'};
		}

		return this.#executor.execute({
			budgetMs,
			deadlineMs: budgetMs,
			makeRelayRequest: mayRelay ? remainingMs => ({kind: 'state', jobId, account, budgetMs: remainingMs}) : undefined,
			callStore: async timeoutMs => readStoredJobState(this.#deps.store, jobId, account, timeoutMs),
		});
	}

	/**
	 * Executes a request relayed by another entry. The store compares the configuration that a job was checked against, as
	 * this entry may know an older one, none, or a newer one than the store had when the job was stored.
	 *
	 * @param request - The request.
	 * @returns An answer with the outcome as its body.
	 */
	async onRelay(request: RelayRequest): Promise<RouteAnswer> {
		switch (request.kind) {
			case 'submit': {
				const configRow = {...this.#deps.config.location, version: request.configRowVersion};
				return {status: 200, body: await this.submit({...request, configRow, deadlineMs: request.budgetMs}, false)};
			}

			case 'cancel': {
				return {status: 200, body: await this.cancel(request.jobId, request.account, request.budgetMs, false)};
			}

			case 'state': {
				return {status: 200, body: await this.state(request.jobId, request.account, request.budgetMs, false)};
			}
		}
	}

	async #storeJob({jobId, row, configRow: {table, key, version}}: SubmitRequest, timeoutMs: number): Promise<JobRequestOutcome | StoreCallFailure> {
		let requiredVersion = 0;
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			const conditions = [{table: TABLES.jobs, key: jobId, version: requiredVersion}, {table, key, version}];
			const stored = await this.#executor.writeRow(jobId, conditions, {table: TABLES.jobs, key: jobId, value: row}, timeoutMs);
			if (stored.ok) {
				this.#notifyLeader({jobId, row});
				return {kind: 'accepted'};
			}

			const {error} = stored;
			if (error.kind !== 'condition_failed' && error.kind !== 'condition_failed_unread') {
				return error.kind;
			}

			const rows = error.kind === 'condition_failed' ? error.rows : await this.#readPresentRows(jobId, timeoutMs);
			if (!rows) {
				return 'unavailable';
			}

			const conflict = judgeSubmissionConflict(rows, {jobId, account: row.account, requiredVersion});
			if (conflict.kind === 'settled') {
				return conflict.outcome;
			}

			if (conflict.kind === 'configuration_changed') {
				for (const other of rows) {
					this.#deps.config.applyIfNewer(other, 'acceptance');
				}

				// Without the rows of the refusal, only a newer configuration here proves that the write can no longer take effect.
				const isReplaced = error.kind === 'condition_failed' || (this.#deps.config.known?.row.version ?? 0) > version;
				return isReplaced ? {kind: 'configuration_changed'} : 'unavailable';
			}

			requiredVersion = conflict.version;
		}

		return 'unavailable';
	}

	/** Reads the job's rows after a refusal that did not bring them; the configuration comes by the transfer that all requests share. */
	async #readPresentRows(jobId: string, timeoutMs: number): Promise<readonly StoredRow[] | undefined> {
		const {store, config} = this.#deps;
		const [page] = await Promise.all([store.read(TABLES.jobs, jobRowRange(jobId), timeoutMs), config.refresh(timeoutMs)]);
		return page.ok ? page.value.rows : undefined;
	}

	async #storeCancellation(jobId: string, account: string, timeoutMs: number): Promise<JobRequestOutcome | StoreCallFailure> {
		const page = await this.#deps.store.read(TABLES.jobs, jobRowRange(jobId), timeoutMs);
		if (!page.ok) {
			return 'unavailable';
		}

		let {rows} = page.value;
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			const {outcome, write} = planCancellation(rows, {jobId, account, wallMs: this.#deps.clock.wallMs()});
			if (!write) {
				return outcome;
			}

			if (write.isTombstone && attempt === 0 && !this.#cancellationBudget.take(account)) {
				return {kind: 'too_many_cancellations'};
			}

			const stored = await this.#executor.writeRow(cancellationKey(jobId), write.conditions, write.row, timeoutMs);
			if (stored.ok) {
				this.#onCancellationStored(jobId, account, write.isTombstone);
				return outcome;
			}

			if (stored.error.kind !== 'condition_failed') {
				return stored.error.kind === 'condition_failed_unread' ? 'unavailable' : stored.error.kind;
			}

			rows = stored.error.rows;
		}

		return 'unavailable';
	}

	#onCancellationStored(jobId: string, account: string, isTombstone: boolean): void {
		if (isTombstone) {
			// The id had no job, and its row has changed, so that no earlier write of any account takes effect.
			this.#executor.settle(jobId);
			this.#deps.logger.info('unknown job cancelled', {job: jobId, account});
			this.#deps.metrics.count('cancellations_of_unknown_jobs');
		} else {
			this.#notifyLeader({jobId, isCancelled: true});
		}
	}

	async #stateFromLeader(jobId: string): Promise<{state: JobState; account: string} | undefined> {
		const leader = this.#deps.leader();
		if (leader) {
			return leader.core.jobView(jobId);
		}

		const address = this.#deps.leaderAddress();
		return address === undefined ? undefined : this.#calls.jobState(address, jobId);
	}

	/** Notifies the leader at once; its change feed would deliver the same a little later. */
	#notifyLeader(notice: StoredNotice): void {
		const leader = this.#deps.leader();
		const address = this.#deps.leaderAddress();
		if (leader) {
			leader.onStored(notice.jobId, notice.row);
		} else if (address !== undefined) {
			this.#calls.notifyStored(address, notice);
		}
	}
}
