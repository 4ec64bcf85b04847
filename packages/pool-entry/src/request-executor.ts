import {
	type Clock, err, type Logger, type Result,
} from '@amaranthsail/core';
import {
	type PoolStore, type RowCondition, type RowWrite, type StoreError,
} from '@amaranthsail/pool';
import {type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {AdaptiveTimeout} from './adaptive-timeout.js';
import type {ConfigFollower} from './config-follower.js';
import type {EntryCalls} from './entry-calls.js';
import type {JobRequestOutcome} from './job-request-outcome.js';
import type {RelayRequest} from './peer-messages.js';
import {UnsettledWrites} from './unsettled-writes.js';

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

/** Delay before the next try after the store failed. */
const RETRY_DELAY_MS = 50;

/** Why a call to the store has no outcome. */
export type StoreCallFailure = 'unavailable' | 'outcome_unknown' | 'history_lost' | 'rejected';

/** A row that must not exist yet, and the version of the configuration that its content depends on, if it does. */
export type RowToWrite = {readonly rowKey: string; readonly configRowVersion?: number};

/** How a request is executed. */
export type Execution = {
	/** Time for retries while nothing can have been written. */
	readonly budgetMs: number;
	/** Time for retries while the outcome of an unanswered write is unknown. */
	readonly deadlineMs: number;
	/** Absent for reads. */
	readonly write?: RowToWrite;
	/** Looks up an outcome that this process knows without the store. */
	readonly knownOutcome?: () => JobRequestOutcome | undefined;
	/** Makes the request for another entry; absent if it may not be relayed. */
	readonly makeRelayRequest?: ((remainingMs: number) => RelayRequest) | undefined;
	readonly callStore: (timeoutMs: number) => Promise<JobRequestOutcome | StoreCallFailure>;
};

/** Dependencies of {@link RequestExecutor}. */
export type RequestExecutorDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly config: ConfigFollower;
	readonly calls: EntryCalls;
	/** Addresses of other entries, in the order in which they are asked. */
	readonly entries: () => readonly string[];
};

/** Executes callers' requests with retries, here and at other entries. A request that writes is refused only if nothing of it may take effect. */
export class RequestExecutor {
	readonly #deps: RequestExecutorDependencies;
	readonly #unsettledWrites: UnsettledWrites;
	readonly #storeTimeout = new AdaptiveTimeout(MIN_STORE_TIMEOUT_MS, MAX_STORE_TIMEOUT_MS);
	#isStopped = false;

	/** @param deps - Dependencies. */
	constructor(deps: RequestExecutorDependencies) {
		this.#deps = deps;
		this.#unsettledWrites = new UnsettledWrites(deps.clock, UNKNOWN_OUTCOME_RETENTION_MS);
	}

	/** From now on nothing is written; writes in progress still get their answers. */
	stop(): void {
		this.#isStopped = true;
	}

	/** @returns Whether a write of the row may have taken effect, or may still do so, by a request with an unknown outcome. */
	mayTakeEffect(rowKey: string): boolean {
		return this.#unsettledWrites.mayTakeEffect(rowKey);
	}

	/**
	 * Executes a request that writes a row.
	 *
	 * @param execution - The request.
	 * @returns The outcome; a refusal only if no write of that row may take effect any more.
	 */
	async executeWrite(execution: Execution & Required<Pick<Execution, 'write'>>): Promise<JobRequestOutcome> {
		const outcome = await this.execute(execution);
		const {rowKey, configRowVersion} = execution.write;
		if (outcome.kind === 'unknown' || (outcome.kind === 'no_such_job' && !outcome.isFinal)) {
			// An entry of an earlier release answers a relayed cancellation with "no such job" by reading alone.
			return {kind: 'unknown'};
		}

		if (outcome.kind === 'not_stored' || outcome.kind === 'too_many_cancellations') {
			return this.#unsettledWrites.mayTakeEffect(rowKey) ? {kind: 'unknown'} : outcome;
		}

		if (outcome.kind === 'configuration_changed') {
			this.#unsettledWrites.settleReplaced(rowKey, configRowVersion!);
		} else {
			this.#unsettledWrites.settle(rowKey);
		}

		return outcome;
	}

	/**
	 * Calls the store until the outcome is known, the budget is used up, or another entry has executed the request.
	 *
	 * @param execution - The request.
	 * @returns The outcome of this request; an earlier one for the same row may have another.
	 */
	async execute({budgetMs, deadlineMs, write, knownOutcome, makeRelayRequest, callStore}: Execution): Promise<JobRequestOutcome> {
		const startMs = this.#deps.clock.monotonicMs();
		let isOutcomeUnknown = false;
		let wasRefused = false;
		const recordUnknown = (): void => {
			if (write) {
				isOutcomeUnknown = true;
				this.#unsettledWrites.recordUnanswered(write.rowKey, write.configRowVersion);
				this.#deps.logger.warn('write not answered', {row: write.rowKey, sinceRequestMs: Math.round(this.#deps.clock.monotonicMs() - startMs)});
				this.#deps.metrics.count('unanswered_writes');
			}
		};

		for (;;) {
			const endMs = startMs + (isOutcomeUnknown ? deadlineMs : budgetMs);
			const settled = knownOutcome?.() ?? this.#outcomeAfter(endMs, isOutcomeUnknown);
			if (settled) {
				return settled;
			}

			// Relaying while the store is merely slow would add to the load that slows it down for all entries.
			if (makeRelayRequest && (wasRefused || this.#deps.config.storeSilentMs > STORE_SUSPECT_TIMEOUT_MS)) {
				const relayed = await this.#relay(makeRelayRequest, endMs, write?.rowKey);
				if (relayed?.kind === 'unknown') {
					recordUnknown();
				} else if (relayed && (relayed.kind !== 'not_stored' || this.#isRefusalFinal(isOutcomeUnknown))) {
					return relayed;
				}
			} else if (!makeRelayRequest && write && this.#isRefusalFinal(isOutcomeUnknown)) {
				return {kind: 'not_stored'};
			}

			const outcome = await this.#callStoreOnce(callStore, startMs + deadlineMs);
			if (typeof outcome === 'object') {
				return outcome;
			}

			wasRefused = outcome !== 'outcome_unknown';
			if (outcome === 'outcome_unknown') {
				recordUnknown();
			}

			await sleep(RETRY_DELAY_MS);
		}
	}

	/** @param rowKey - A row for which no earlier write can take effect any more. */
	settle(rowKey: string): void {
		this.#unsettledWrites.settle(rowKey);
	}

	/**
	 * Writes a row for a request.
	 *
	 * @param rowKey - Key under which the request's writes are accounted for.
	 * @param conditions - Conditions on the present rows.
	 * @param row - The row.
	 * @param timeoutMs - Timeout of the call.
	 * @returns The answer of the store.
	 */
	async writeRow(rowKey: string, conditions: readonly RowCondition[], row: RowWrite, timeoutMs: number): Promise<Result<unknown, StoreError>> {
		if (this.#isStopped) {
			return err({kind: 'unavailable', message: 'this entry is stopping'});
		}

		return this.#unsettledWrites.track(rowKey, this.#deps.store.transact(conditions, [row], timeoutMs));
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

	/** Relays a request to other entries; undefined when none of them has received it. */
	async #relay(makeRequest: (remainingMs: number) => RelayRequest, endMs: number, rowKey: string | undefined): Promise<JobRequestOutcome | undefined> {
		if (rowKey === undefined) {
			return this.#deps.calls.relay(this.#deps.entries(), makeRequest, endMs);
		}

		return this.#isStopped ? undefined : this.#unsettledWrites.track(rowKey, this.#deps.calls.relay(this.#deps.entries(), makeRequest, endMs));
	}

	#outcomeAfter(endMs: number, isOutcomeUnknown: boolean): JobRequestOutcome | undefined {
		if (this.#deps.clock.monotonicMs() < endMs) {
			return undefined;
		}

		return isOutcomeUnknown ? {kind: 'unknown'} : {kind: 'not_stored'};
	}

	/** Whether a request that no other entry can execute is refused at once: nothing was written, and the store is unreachable from here. */
	#isRefusalFinal(isOutcomeUnknown: boolean): boolean {
		return !isOutcomeUnknown && this.#deps.config.storeSilentMs > STORE_UNREACHABLE_TIMEOUT_MS;
	}
}
