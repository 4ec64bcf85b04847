import {
	type Clock, type JsonResponse, JsonClient, type Logger, type RequestError, type Result,
} from '@amaranthsail/core';
import type {JobState} from '@amaranthsail/pool';
import type {JobRequestOutcome} from './job-request-outcome.js';
import {decodeJobStateAnswer, decodeRelayOutcome} from './peer-message-decoding.js';
import {PEER_PATHS, type RelayRequest, type StoredNotice} from './peer-messages.js';

/** Timeout of a relayed request; a call to an entry that is down must leave time for the next entry. */
const RELAY_TIMEOUT_MS = 450;

/** Time for the way to another entry and back, during which that entry does not work on a relayed request. */
const RELAY_MARGIN_MS = 50;

/** Timeout of calls to the leader; it answers from memory. */
const LEADER_TIMEOUT_MS = 350;

/** Statuses with which an entry rejects a call before its handler runs. */
const REJECTED_CALL_STATUSES: ReadonlySet<number> = new Set([400, 404, 413, 503]);

/** Calls of callers' requests to other entries. */
export class EntryCalls {
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #clients = new Map<string, JsonClient>();

	/**
	 * @param clock - Source of time.
	 * @param logger - Receives a line for each relayed request.
	 */
	constructor(clock: Clock, logger: Logger) {
		this.#clock = clock;
		this.#logger = logger;
	}

	/**
	 * Relays a request to other entries, one after another, until one of them has executed it.
	 *
	 * @param addresses - The entries.
	 * @param makeRequest - Makes the request for an entry that may work on it for this time.
	 * @param endMs - Time on the monotonic clock at which the last call ends.
	 * @returns The outcome; undefined when no entry has received the request.
	 */
	async relay(addresses: readonly string[], makeRequest: (remainingMs: number) => RelayRequest, endMs: number): Promise<JobRequestOutcome | undefined> {
		let isOutcomeUnknown = false;
		let isRefused = false;
		for (const address of addresses) {
			const remainingMs = Math.min(RELAY_TIMEOUT_MS, endMs - this.#clock.monotonicMs());
			if (remainingMs <= RELAY_MARGIN_MS) {
				break;
			}

			const request = makeRequest(remainingMs - RELAY_MARGIN_MS);
			const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.relay, body: request, timeoutMs: remainingMs});
			const outcome = relayOutcome(request, answer);
			this.#logger.info('relayed', {
				job: request.jobId, request: request.kind, to: address, outcome: outcome?.kind ?? 'not received', ...(!answer.ok && {error: answer.error.message}),
			});
			if (outcome && outcome.kind !== 'not_stored' && outcome.kind !== 'unknown') {
				return outcome;
			}

			isRefused ||= outcome?.kind === 'not_stored';
			isOutcomeUnknown ||= outcome?.kind === 'unknown';
		}

		if (isOutcomeUnknown) {
			return {kind: 'unknown'};
		}

		return isRefused ? {kind: 'not_stored'} : undefined;
	}

	/**
	 * Asks the leader for the state of a job.
	 *
	 * @param address - Address of the leader.
	 * @param jobId - The job.
	 * @returns State and account; undefined when the leader does not know the job or has not answered.
	 */
	async jobState(address: string, jobId: string): Promise<{readonly state: JobState; readonly account: string} | undefined> {
		const answer = await this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.jobState, body: {jobId}, timeoutMs: LEADER_TIMEOUT_MS});
		const body = answer.ok ? decodeJobStateAnswer(answer.value.body) : undefined;
		return body?.state !== undefined && body.account !== undefined ? {state: body.state, account: body.account} : undefined;
	}

	/**
	 * Notifies the leader of a stored row, without waiting for its answer.
	 *
	 * @param address - Address of the leader.
	 * @param notice - The row.
	 */
	notifyStored(address: string, notice: StoredNotice): void {
		void this.#clientOf(address).call({method: 'POST', path: PEER_PATHS.stored, body: notice, timeoutMs: LEADER_TIMEOUT_MS});
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

/** @returns The outcome of a relayed request; undefined when the entry has certainly done nothing. */
function relayOutcome(request: RelayRequest, answer: Result<JsonResponse, RequestError>): JobRequestOutcome | undefined {
	if (answer.ok && answer.value.status === 200) {
		const outcome = decodeRelayOutcome(answer.value.body);
		if (outcome) {
			return outcome;
		}
	}

	const isReceived = answer.ok ? !REJECTED_CALL_STATUSES.has(answer.value.status) : answer.error.kind === 'no_answer';
	return isReceived && request.kind !== 'state' ? {kind: 'unknown'} : undefined;
}
