import {err, ok, type Result} from '@amaranthsail/core';
import {apiError, type ApiError} from './api-error.js';

/** Requests that an account may have open at one entry. */
const MAX_OPEN_REQUESTS_PER_ACCOUNT = 512;

/** Requests that all accounts together may have open at one entry. */
const MAX_OPEN_REQUESTS = 4096;

/** New requests that earn an account one retry. */
const REQUESTS_PER_RETRY = 10;

/** Retries that an account has in reserve, counted in the new requests that earn them. */
const RETRY_RESERVE = 20 * REQUESTS_PER_RETRY;

/** First delay that a refused caller is asked to keep. */
const BASE_RETRY_AFTER_MS = 200;

/** Longest delay that a refused caller is asked to keep. */
const MAX_RETRY_AFTER_MS = 10_000;

type AccountState = {openRequests: number; retryCredit: number; refusalsInRow: number};

/** Refuses early what an entry cannot serve, so that a peak does not turn into a longer outage. */
export class Admission {
	readonly #random: () => number;
	readonly #accounts = new Map<string, AccountState>();
	#openRequests = 0;

	/**
	 * @param random - Numbers from 0 to 1 for the jitter of retry delays.
	 */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	/**
	 * Admits a request or refuses it before anything is written.
	 *
	 * @param account - The client account.
	 * @param isRetry - Whether the caller says that it has sent the request before.
	 * @returns A function to call when the request has ended, or the refusal with a delay in `retryAfterMs`.
	 */
	enter(account: string, isRetry: boolean): Result<() => void, ApiError> {
		const state = this.#accounts.get(account) ?? {openRequests: 0, retryCredit: RETRY_RESERVE, refusalsInRow: 0};
		this.#accounts.set(account, state);
		if (state.openRequests >= MAX_OPEN_REQUESTS_PER_ACCOUNT) {
			return this.#refuse(state, 'account_limit', `The account has ${state.openRequests} requests open at this entry.`);
		}

		if (this.#openRequests >= MAX_OPEN_REQUESTS) {
			return this.#refuse(state, 'overloaded', 'This entry has too many requests open.');
		}

		if (isRetry && state.retryCredit < REQUESTS_PER_RETRY) {
			return this.#refuse(state, 'overloaded', 'The account has used up its share of retries; new requests are still served.');
		}

		state.retryCredit = isRetry ? state.retryCredit - REQUESTS_PER_RETRY : Math.min(RETRY_RESERVE, state.retryCredit + 1);
		state.refusalsInRow = 0;
		state.openRequests += 1;
		this.#openRequests += 1;
		let isOpen = true;
		return ok(() => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			state.openRequests -= 1;
			this.#openRequests -= 1;
		});
	}

	#refuse(state: AccountState, code: 'account_limit' | 'overloaded', message: string): Result<never, ApiError> {
		state.refusalsInRow += 1;
		const ceilingMs = Math.min(MAX_RETRY_AFTER_MS, BASE_RETRY_AFTER_MS * (2 ** Math.min(state.refusalsInRow, 10)));
		const retryAfterMs = Math.ceil(ceilingMs * (0.5 + (this.#random() / 2)));
		// An earlier request with the same key may have been accepted; looking it up would add load at the worst time.
		return err(apiError(code, `${message} Try again in ${retryAfterMs} ms.`, {outcome: 'unknown', details: {retryAfterMs}}));
	}
}
