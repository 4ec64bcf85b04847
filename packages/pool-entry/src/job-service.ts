import {
	type Clock, JsonClient, type Logger,
} from '@amaranthsail/core';
import {
	cancellationKey, type JobRow, type JobState, JOB_STATES, type PoolStore, prefixRange, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {type RouteAnswer, sleep} from '@amaranthsail/pool-runtime';
import {AdaptiveTimeout} from './adaptive-timeout.js';
import type {ConfigFollower} from './config-follower.js';
import {decodeJobStateAnswer, decodeRelayOutcome} from './peer-message-decoding.js';
import {PEER_PATHS, type RelayRequest, type StoredNotice} from './peer-messages.js';
import type {PoolLeader} from './pool-leader.js';
import {RecentIds} from './recent-ids.js';

/** Outcome of a request about a job. */
export type JobRequestOutcome
	= | {readonly kind: 'accepted'}
		/** The configuration has changed; the request has to be checked against the new one. */
		| {readonly kind: 'configuration_changed'}
		/** The id belongs to a job of another account. */
		| {readonly kind: 'conflict'}
		| {readonly kind: 'state'; readonly state: JobState}
		| {readonly kind: 'no_such_job'}
		/** Nothing was stored and nothing will be. */
		| {readonly kind: 'not_stored'}
		/** A write may have taken effect or may still do so. */
		| {readonly kind: 'unknown'};

/**
 * Timeout of a store call for a caller while the store is fast: it answers within milliseconds then. Leaves time for
 * a second call on another connection when the first one gets no answer.
 */
const MIN_STORE_TIMEOUT_MS = 800;

/** Largest such timeout, while the store is slow; callers usually wait 3 s. */
const MAX_STORE_TIMEOUT_MS = 2400;

/**
 * An entry that has had no answer of the store for this long relays requests to another entry first. The change feed
 * answers at least every 700 ms.
 */
const STORE_SUSPECT_TIMEOUT_MS = 900;

/** After this time both a feed call and a new read have failed: the store is unreachable from this entry, not slow. */
const STORE_UNREACHABLE_TIMEOUT_MS = 1500;

/**
 * How long an unknown outcome is remembered. An unanswered call may be executed several seconds later, and callers
 * retry within their deadline of 3 s.
 */
const UNKNOWN_OUTCOME_RETENTION_MS = 30_000;

/** Timeout of a relayed request; a call to an entry that is down must leave time for the next entry. */
const RELAY_TIMEOUT_MS = 450;

/** Delay before the next try after the store failed. */
const RETRY_DELAY_MS = 50;

/** Timeout of calls to the leader; it answers from memory. */
const LEADER_TIMEOUT_MS = 350;

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
	readonly config: ConfigFollower;
	/** The leader in this process, while it knows the stored state. */
	readonly leader: () => PoolLeader | undefined;
	readonly leaderAddress: () => string | undefined;
	/** Addresses of other entries: the leader first, then those heard from most recently, then the seeds. */
	readonly entries: () => readonly string[];
};

/** Accepts and cancels jobs in the store, and looks up their state. */
export class JobService {
	readonly #deps: JobServiceDependencies;
	readonly #clients = new Map<string, JsonClient>();
	readonly #unknownOutcomeJobs = new RecentIds(UNKNOWN_OUTCOME_RETENTION_MS);
	readonly #storeTimeout = new AdaptiveTimeout(MIN_STORE_TIMEOUT_MS, MAX_STORE_TIMEOUT_MS);

	/** @param deps - Dependencies. */
	constructor(deps: JobServiceDependencies) {
		this.#deps = deps;
	}

	/**
	 * Stores a job, if the configuration that it was checked against is still the newest.
	 *
	 * @param request - The job and the configuration that it was checked against.
	 * @param mayRelay - Whether the request may be relayed to other entries.
	 * @returns The outcome.
	 */
	async submit(request: SubmitRequest, mayRelay = true): Promise<JobRequestOutcome> {
		const outcome = await this.#storeJob(request, mayRelay);
		if (outcome.kind === 'unknown') {
			this.#unknownOutcomeJobs.add(request.jobId, this.#deps.clock.monotonicMs());
		} else if (outcome.kind === 'not_stored' && this.#unknownOutcomeJobs.has(request.jobId, this.#deps.clock.monotonicMs())) {
			return {kind: 'unknown'};
		}

		return outcome;
	}

	/**
	 * Stores the cancellation of a job.
	 *
	 * @param jobId - The job.
	 * @param account - Account of the caller.
	 * @param budgetMs - Time for retries.
	 * @param mayRelay - Whether the request may be relayed to other entries.
	 * @returns The outcome.
	 */
	async cancel(jobId: string, account: string, budgetMs: number, mayRelay = true): Promise<JobRequestOutcome> {
		return this.#withRetries({budgetMs, deadlineMs: budgetMs}, mayRelay && (remainingMs => ({kind: 'cancel', jobId, account, budgetMs: remainingMs})), async timeoutMs => {
			const page = await this.#deps.store.read(TABLES.jobs, jobRowRange(jobId), timeoutMs);
			if (!page.ok) {
				return 'unavailable';
			}

			const job = page.value.rows.find(row => row.key === jobId)?.value as JobRow | undefined;
			if (job?.account !== account) {
				return {kind: 'no_such_job'};
			}

			if (job.finalState !== undefined || page.value.rows.some(row => row.key === cancellationKey(jobId))) {
				return {kind: 'accepted'};
			}

			const stored = await this.#deps.store.transact([{table: TABLES.jobs, key: cancellationKey(jobId), version: 0}], [{table: TABLES.jobs, key: cancellationKey(jobId), value: {}}], timeoutMs);
			if (stored.ok || stored.error.kind === 'condition_failed') {
				this.#notifyLeader({jobId, isCancelled: true});
				return {kind: 'accepted'};
			}

			return stored.error.kind;
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

		return this.#withRetries({budgetMs, deadlineMs: budgetMs}, mayRelay && (remainingMs => ({kind: 'state', jobId, account, budgetMs: remainingMs})), async timeoutMs => this.#stateFromStore(jobId, account, timeoutMs));
	}

	/**
	 * Executes a request relayed by another entry.
	 *
	 * @param request - The request.
	 * @returns An answer with the outcome as its body.
	 */
	async onRelay(request: RelayRequest): Promise<RouteAnswer> {
		if (request.kind !== 'submit') {
			const outcome = request.kind === 'cancel'
				? await this.cancel(request.jobId, request.account, request.budgetMs, false)
				: await this.state(request.jobId, request.account, request.budgetMs, false);
			return {status: 200, body: outcome};
		}

		const {known} = this.#deps.config;
		if (known?.row.version !== request.configRowVersion) {
			return {status: 200, body: {kind: 'configuration_changed'} satisfies JobRequestOutcome};
		}

		return {status: 200, body: await this.submit({...request, configRow: known.row, deadlineMs: request.budgetMs}, false)};
	}

	async #storeJob({jobId, row, configRow, budgetMs, deadlineMs}: SubmitRequest, mayRelay: boolean): Promise<JobRequestOutcome> {
		const conditions = [
			{table: TABLES.jobs, key: jobId, version: 0},
			{table: configRow.table, key: configRow.key, version: configRow.version},
		];
		if (!mayRelay && this.#isStoreUnreachable()) {
			return {kind: 'not_stored'};
		}

		return this.#withRetries({budgetMs, deadlineMs}, mayRelay && (remainingMs => ({kind: 'submit', jobId, row, configRowVersion: configRow.version, budgetMs: remainingMs})), async timeoutMs => {
			const stored = await this.#deps.store.transact(conditions, [{table: TABLES.jobs, key: jobId, value: row}], timeoutMs);
			if (stored.ok) {
				this.#notifyLeader({jobId, row});
				return {kind: 'accepted'};
			}

			if (stored.error.kind !== 'condition_failed') {
				return stored.error.kind;
			}

			const present = stored.error.rows.find(candidate => candidate.table === TABLES.jobs && candidate.key === jobId && candidate.version > 0);
			if (present && !present.isRemoved) {
				return (present.value as JobRow | undefined)?.account === row.account ? {kind: 'accepted'} : {kind: 'conflict'};
			}

			for (const other of stored.error.rows) {
				this.#deps.config.applyIfNewer(other, 'acceptance');
			}

			return {kind: 'configuration_changed'};
		});
	}

	/** Calls the store until the outcome is known, the budget is used up, or another entry has executed the request. */
	async #withRetries(
		{budgetMs, deadlineMs}: {readonly budgetMs: number; readonly deadlineMs: number},
		makeRelayRequest: false | ((remainingMs: number) => RelayRequest),
		callStore: (timeoutMs: number) => Promise<JobRequestOutcome | 'unavailable' | 'outcome_unknown' | 'history_lost' | 'rejected'>,
	): Promise<JobRequestOutcome> {
		const startMs = this.#deps.clock.monotonicMs();
		let isOutcomeUnknown = false;
		let wasRefused = false;
		for (;;) {
			const endMs = startMs + (isOutcomeUnknown ? deadlineMs : budgetMs);
			const nowMs = this.#deps.clock.monotonicMs();
			if (nowMs >= endMs) {
				return isOutcomeUnknown ? {kind: 'unknown'} : {kind: 'not_stored'};
			}

			// Relaying while the store is merely slow would add to the load that slows it down for all entries.
			if (makeRelayRequest && (wasRefused || this.#deps.config.ageMs > STORE_SUSPECT_TIMEOUT_MS)) {
				const relayed = await this.#relay(makeRelayRequest, endMs);
				if (relayed?.kind === 'unknown') {
					isOutcomeUnknown = true;
				} else if (relayed && relayed.kind !== 'not_stored') {
					return relayed;
				} else if (relayed && !isOutcomeUnknown && this.#isStoreUnreachable()) {
					return relayed;
				}
			}

			const outcome = await this.#callStoreOnce(callStore, startMs + deadlineMs);
			if (typeof outcome === 'object') {
				return outcome;
			}

			wasRefused = outcome !== 'outcome_unknown';
			isOutcomeUnknown ||= outcome === 'outcome_unknown';
			await sleep(RETRY_DELAY_MS);
		}
	}

	async #callStoreOnce<Outcome>(callStore: (timeoutMs: number) => Promise<Outcome>, endMs: number): Promise<Outcome> {
		const startMs = this.#deps.clock.monotonicMs();
		const timeoutMs = Math.max(1, Math.min(this.#storeTimeout.currentMs, endMs - startMs));
		const outcome = await callStore(timeoutMs);
		const tookMs = this.#deps.clock.monotonicMs() - startMs;
		if (typeof outcome === 'object') {
			this.#storeTimeout.recordAnswer(tookMs);
		} else if (tookMs >= timeoutMs) {
			this.#storeTimeout.recordTimeout(timeoutMs);
		}

		return outcome;
	}

	/** Whether the store is unreachable from this entry. */
	#isStoreUnreachable(): boolean {
		return this.#deps.config.ageMs > STORE_UNREACHABLE_TIMEOUT_MS;
	}

	/** Relays a request to other entries, one after another; undefined when none of them has answered. */
	async #relay(makeRequest: (remainingMs: number) => RelayRequest, endMs: number): Promise<JobRequestOutcome | undefined> {
		let isOutcomeUnknown = false;
		let isRefused = false;
		for (const address of this.#deps.entries()) {
			const remainingMs = Math.min(RELAY_TIMEOUT_MS, endMs - this.#deps.clock.monotonicMs());
			if (remainingMs <= RETRY_DELAY_MS) {
				break;
			}

			const request = makeRequest(remainingMs - RETRY_DELAY_MS);
			const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.relay, body: request, timeoutMs: remainingMs});
			const outcome = answer.ok && answer.value.status === 200 ? decodeRelayOutcome(answer.value.body) : undefined;
			this.#deps.logger.info('relayed', {
				job: request.jobId, request: request.kind, to: address, outcome: outcome?.kind ?? 'no answer',
			});
			if (outcome && outcome.kind !== 'not_stored' && outcome.kind !== 'unknown') {
				return outcome;
			}

			isRefused ||= outcome?.kind === 'not_stored';
			isOutcomeUnknown ||= outcome?.kind === 'unknown' || (!answer.ok && answer.error.kind === 'no_answer');
		}

		if (isOutcomeUnknown) {
			return {kind: 'unknown'};
		}

		return isRefused ? {kind: 'not_stored'} : undefined;
	}

	async #stateFromLeader(jobId: string): Promise<{state: JobState; account: string} | undefined> {
		const leader = this.#deps.leader();
		if (leader) {
			return leader.core.jobView(jobId);
		}

		const address = this.#deps.leaderAddress();
		if (address === undefined) {
			return undefined;
		}

		const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.jobState, body: {jobId}, timeoutMs: LEADER_TIMEOUT_MS});
		const body = answer.ok ? decodeJobStateAnswer(answer.value.body) : undefined;
		return body?.state !== undefined && body.account !== undefined ? {state: body.state, account: body.account} : undefined;
	}

	async #stateFromStore(jobId: string, account: string, timeoutMs: number): Promise<JobRequestOutcome | 'unavailable'> {
		const page = await this.#deps.store.read(TABLES.jobs, jobRowRange(jobId), timeoutMs);
		if (!page.ok) {
			return 'unavailable';
		}

		const job = page.value.rows.find(row => row.key === jobId)?.value as JobRow | undefined;
		if (job?.account !== account) {
			return {kind: 'no_such_job'};
		}

		if (job.finalState !== undefined) {
			return {kind: 'state', state: job.finalState};
		}

		if (page.value.rows.some(row => row.key === cancellationKey(jobId))) {
			return {kind: 'state', state: JOB_STATES.cancelled};
		}

		const runs = await this.#deps.store.read(TABLES.runs, prefixRange(`${jobId}.`), timeoutMs);
		if (!runs.ok) {
			return 'unavailable';
		}

		return {kind: 'state', state: runs.value.rows.length > 0 ? JOB_STATES.running : JOB_STATES.queued};
	}

	/** Notifies the leader at once; its change feed would deliver the same a little later. */
	#notifyLeader(notice: StoredNotice): void {
		const leader = this.#deps.leader();
		const address = this.#deps.leaderAddress();
		if (leader) {
			leader.onStored(notice.jobId, notice.row);
		} else if (address !== undefined) {
			void this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.stored, body: notice, timeoutMs: LEADER_TIMEOUT_MS});
		}
	}

	#clientOf(address: string): JsonClient {
		let client = this.#clients.get(address);
		if (!client) {
			client = new JsonClient(address);
			this.#clients.set(address, client);
		}

		return client;
	}
}

/** Key range of a job's row and the row of its cancellation. */
function jobRowRange(jobId: string): {readonly from: string; readonly to: string} {
	return {from: jobId, to: `${cancellationKey(jobId)}\0`};
}
