import {
	type Clock, JsonClient, type Logger,
} from '@amaranthsail/core';
import {
	cancelKey, type JobRow, type JobState, JOB_STATES, type PoolStore, prefixRange, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {type RouteAnswer, sleep} from '@amaranthsail/pool-runtime';
import {AdaptiveTimeout} from './adaptive-timeout.js';
import type {ConfigFollower} from './config-follower.js';
import {
	type JobStateAnswer, PEER_PATHS, type RelayRequest, type StoredNotice,
} from './peer-messages.js';
import type {PoolLeader} from './pool-leader.js';
import {RecentIds} from './recent-ids.js';

/** What a request about a job ends in. */
export type IntakeOutcome
	= | {readonly kind: 'accepted'}
		/** The configuration changed meanwhile; the request has to be checked against the new one. */
		| {readonly kind: 'configuration_changed'}
		/** The id belongs to a job of another account. */
		| {readonly kind: 'conflict'}
		| {readonly kind: 'state'; readonly state: JobState}
		| {readonly kind: 'no_such_job'}
		/** Nothing was stored and nothing will be. */
		| {readonly kind: 'not_stored'}
		/** A write may have taken effect, or may do so later. */
		| {readonly kind: 'unknown'};

/**
 * Timeout of a call of the store on behalf of a caller. It answers within milliseconds unless it is slow, and leaves
 * time for a second call on another connection if one was lost in silence.
 */
const LEAST_TIMEOUT_MS = 800;

/** The same while the store is slow; callers wait 3 s as a rule. */
const MOST_TIMEOUT_MS = 2400;

/** An entry that has not heard from the store for this long asks another one first; its feed answers every 700 ms. */
const STORE_DOUBTFUL_MS = 900;

/** After this time both a call of the feed and a fresh read have failed: the store is lost to this entry, not slow. */
const STORE_LOST_MS = 1500;

/** A call without an answer may be carried out several seconds later; callers come back within their deadline of 3 s. */
const UNCERTAIN_MS = 30_000;

/** Time that another entry gets; a call to one that is down must leave time for the next. */
const RELAY_TIMEOUT_MS = 450;

/** Pause after a refusal of the store. */
const RETRY_MS = 50;

/** The leader answers from memory. */
const STATE_TIMEOUT_MS = 350;

/** A job that is to be stored. */
export type SubmitRequest = {
	/** The id that the caller chose. */
	readonly jobId: string;
	readonly row: JobRow;
	/** Row of the configuration that the request was checked against. */
	readonly configRow: Pick<StoredRow, 'table' | 'key' | 'version'>;
	/** Time for trying while nothing can have been stored. */
	readonly budgetMs: number;
	/** Time for finding out what became of an attempt without an answer. */
	readonly deadlineMs: number;
};

/** What the intake works with. */
export type JobIntakeDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly config: ConfigFollower;
	/** This process's leader, while it leads. */
	readonly leader: () => PoolLeader | undefined;
	readonly leaderAddress: () => string | undefined;
	/** Other entries, the most promising first. */
	readonly entries: () => readonly string[];
};

/** Accepts and cancels jobs in the store, and finds their state. */
export class JobIntake {
	readonly #deps: JobIntakeDependencies;
	readonly #clients = new Map<string, JsonClient>();
	readonly #uncertainJobs = new RecentIds(UNCERTAIN_MS);
	readonly #storeTimeout = new AdaptiveTimeout(LEAST_TIMEOUT_MS, MOST_TIMEOUT_MS);

	/** @param deps - What the intake works with. */
	constructor(deps: JobIntakeDependencies) {
		this.#deps = deps;
	}

	/**
	 * Stores a job, if the configuration that it was checked against is still the newest.
	 *
	 * @param request - The job and what it was checked against.
	 * @param mayRelay - Whether other entries may be asked.
	 * @returns What became of it.
	 */
	async submit(request: SubmitRequest, mayRelay = true): Promise<IntakeOutcome> {
		const outcome = await this.#store(request, mayRelay);
		if (outcome.kind === 'unknown') {
			this.#uncertainJobs.add(request.jobId, this.#deps.clock.monotonicMs());
		} else if (outcome.kind === 'not_stored' && this.#uncertainJobs.has(request.jobId, this.#deps.clock.monotonicMs())) {
			return {kind: 'unknown'};
		}

		return outcome;
	}

	/**
	 * Stores the cancellation of a job.
	 *
	 * @param jobId - The job.
	 * @param account - Account of the caller.
	 * @param budgetMs - Time for trying.
	 * @param mayRelay - Whether other entries may be asked.
	 * @returns What became of it.
	 */
	async cancel(jobId: string, account: string, budgetMs: number, mayRelay = true): Promise<IntakeOutcome> {
		return this.#write({budgetMs, deadlineMs: budgetMs}, mayRelay && (remainingMs => ({kind: 'cancel', jobId, account, budgetMs: remainingMs})), async timeoutMs => {
			const page = await this.#deps.store.read(TABLES.jobs, jobRange(jobId), timeoutMs);
			if (!page.ok) {
				return 'unavailable';
			}

			const job = page.value.rows.find(row => row.key === jobId)?.value as JobRow | undefined;
			if (job?.account !== account) {
				return {kind: 'no_such_job'};
			}

			if (job.finalState !== undefined || page.value.rows.some(row => row.key === cancelKey(jobId))) {
				return {kind: 'accepted'};
			}

			const stored = await this.#deps.store.transact([{table: TABLES.jobs, key: cancelKey(jobId), version: 0}], [{table: TABLES.jobs, key: cancelKey(jobId), value: {}}], timeoutMs);
			if (stored.ok || stored.error.kind === 'condition_failed') {
				this.#notify({jobId, isCancelled: true});
				return {kind: 'accepted'};
			}

			return stored.error.kind;
		});
	}

	/**
	 * Finds the state of a job: from the leader, or from the store when the leader does not know it.
	 *
	 * @param jobId - The job.
	 * @param account - Account of the caller.
	 * @param budgetMs - Time for trying.
	 * @param mayRelay - Whether other entries may be asked.
	 * @returns The state, that there is no such job, or that nobody could tell.
	 */
	async state(jobId: string, account: string, budgetMs: number, mayRelay = true): Promise<IntakeOutcome> {
		const known = await this.#stateFromLeader(jobId);
		if (known) {
			return known.account === account ? {kind: 'state', state: known.state} : {kind: 'no_such_job'};
		}

		return this.#write({budgetMs, deadlineMs: budgetMs}, mayRelay && (remainingMs => ({kind: 'state', jobId, account, budgetMs: remainingMs})), async timeoutMs => this.#stateFromStore(jobId, account, timeoutMs));
	}

	/**
	 * Carries out a request that another entry relays.
	 *
	 * @param request - The request.
	 * @returns The outcome as the body of the answer.
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
			return {status: 200, body: {kind: 'configuration_changed'} satisfies IntakeOutcome};
		}

		return {status: 200, body: await this.submit({...request, configRow: known.row, deadlineMs: request.budgetMs}, false)};
	}

	async #store({jobId, row, configRow, budgetMs, deadlineMs}: SubmitRequest, mayRelay: boolean): Promise<IntakeOutcome> {
		const conditions = [
			{table: TABLES.jobs, key: jobId, version: 0},
			{table: configRow.table, key: configRow.key, version: configRow.version},
		];
		if (!mayRelay && this.#isStoreLost()) {
			return {kind: 'not_stored'};
		}

		return this.#write({budgetMs, deadlineMs}, mayRelay && (remainingMs => ({kind: 'submit', jobId, row, configRowVersion: configRow.version, budgetMs: remainingMs})), async timeoutMs => {
			const stored = await this.#deps.store.transact(conditions, [{table: TABLES.jobs, key: jobId, value: row}], timeoutMs);
			if (stored.ok) {
				this.#notify({jobId, row});
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
				this.#deps.config.offer(other, 'acceptance');
			}

			return {kind: 'configuration_changed'};
		});
	}

	/** Repeats an attempt until it is decided, the budget is used up, or another entry has decided it. */
	async #write(
		{budgetMs, deadlineMs}: {readonly budgetMs: number; readonly deadlineMs: number},
		relay: false | ((remainingMs: number) => RelayRequest),
		attempt: (timeoutMs: number) => Promise<IntakeOutcome | 'unavailable' | 'outcome_unknown' | 'history_lost' | 'rejected'>,
	): Promise<IntakeOutcome> {
		const startMs = this.#deps.clock.monotonicMs();
		let isUncertain = false;
		let wasRefused = false;
		for (;;) {
			const endMs = startMs + (isUncertain ? deadlineMs : budgetMs);
			const nowMs = this.#deps.clock.monotonicMs();
			if (nowMs >= endMs) {
				return isUncertain ? {kind: 'unknown'} : {kind: 'not_stored'};
			}

			// A store that is slow for all entries is not asked through others as well.
			if (relay && (wasRefused || this.#deps.config.ageMs > STORE_DOUBTFUL_MS)) {
				const relayed = await this.#relay(relay, endMs);
				if (relayed?.kind === 'unknown') {
					isUncertain = true;
				} else if (relayed && relayed.kind !== 'not_stored') {
					return relayed;
				} else if (relayed && !isUncertain && this.#isStoreLost()) {
					return relayed;
				}
			}

			const outcome = await this.#attempt(attempt, startMs + deadlineMs);
			if (typeof outcome === 'object') {
				return outcome;
			}

			wasRefused = outcome !== 'outcome_unknown';
			isUncertain ||= outcome === 'outcome_unknown';
			await sleep(RETRY_MS);
		}
	}

	async #attempt<Outcome>(attempt: (timeoutMs: number) => Promise<Outcome>, endMs: number): Promise<Outcome> {
		const startMs = this.#deps.clock.monotonicMs();
		const timeoutMs = Math.max(1, Math.min(this.#storeTimeout.currentMs, endMs - startMs));
		const outcome = await attempt(timeoutMs);
		const tookMs = this.#deps.clock.monotonicMs() - startMs;
		if (typeof outcome === 'object') {
			this.#storeTimeout.noteAnswer(tookMs);
		} else if (tookMs >= timeoutMs) {
			this.#storeTimeout.noteTimeout(timeoutMs);
		}

		return outcome;
	}

	/** Whether an attempt here cannot succeed. */
	#isStoreLost(): boolean {
		return this.#deps.config.ageMs > STORE_LOST_MS;
	}

	/** Asks other entries; undefined when none of them has answered. */
	async #relay(makeRequest: (remainingMs: number) => RelayRequest, endMs: number): Promise<IntakeOutcome | undefined> {
		let isUncertain = false;
		let isRefused = false;
		for (const address of this.#deps.entries()) {
			const remainingMs = Math.min(RELAY_TIMEOUT_MS, endMs - this.#deps.clock.monotonicMs());
			if (remainingMs <= RETRY_MS) {
				break;
			}

			const request = makeRequest(remainingMs - RETRY_MS);
			const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.relay, body: request, timeoutMs: remainingMs});
			const outcome = answer.ok && answer.value.status === 200 ? answer.value.body as IntakeOutcome : undefined;
			this.#deps.logger.info('relayed', {
				job: request.jobId, request: request.kind, to: address, outcome: outcome?.kind ?? 'no answer',
			});
			if (outcome && outcome.kind !== 'not_stored' && outcome.kind !== 'unknown') {
				return outcome;
			}

			isRefused ||= outcome?.kind === 'not_stored';
			isUncertain ||= outcome?.kind === 'unknown' || (!answer.ok && answer.error.kind === 'no_answer');
		}

		if (isUncertain) {
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

		const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.jobState, body: {jobId}, timeoutMs: STATE_TIMEOUT_MS});
		const body = answer.ok ? answer.value.body as JobStateAnswer : undefined;
		return body?.state !== undefined && body.account !== undefined ? {state: body.state, account: body.account} : undefined;
	}

	async #stateFromStore(jobId: string, account: string, timeoutMs: number): Promise<IntakeOutcome | 'unavailable'> {
		const page = await this.#deps.store.read(TABLES.jobs, jobRange(jobId), timeoutMs);
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

		if (page.value.rows.some(row => row.key === cancelKey(jobId))) {
			return {kind: 'state', state: JOB_STATES.cancelled};
		}

		const runs = await this.#deps.store.read(TABLES.runs, prefixRange(`${jobId}.`), timeoutMs);
		if (!runs.ok) {
			return 'unavailable';
		}

		return {kind: 'state', state: runs.value.rows.length > 0 ? JOB_STATES.running : JOB_STATES.queued};
	}

	/** Tells the leader at once; its feed brings the same a little later. */
	#notify(notice: StoredNotice): void {
		const leader = this.#deps.leader();
		const address = this.#deps.leaderAddress();
		if (leader) {
			leader.onStored(notice.jobId, notice.row);
		} else if (address !== undefined) {
			void this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.stored, body: notice, timeoutMs: STATE_TIMEOUT_MS});
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

/** A job's row and the row of its cancellation. */
function jobRange(jobId: string): {readonly from: string; readonly to: string} {
	return {from: jobId, to: `${cancelKey(jobId)}\0`};
}
