import {err, ok, type Result} from '@amaranthsail/core';
import {apiError, type ApiError} from './api-error.js';

/** Open requests that one client account may have at an entry. */
const MAX_OPEN_REQUESTS_PER_ACCOUNT = 512;

/** Open requests that all client accounts together may have at an entry. */
const MAX_OPEN_REQUESTS = 4096;

/** Number of new requests that entitle an account to one retry. */
const NEW_REQUESTS_PER_RETRY = 10;

/** Maximum retry budget of an account, in new requests: 20 retries. */
const MAX_RETRY_BUDGET = 20 * NEW_REQUESTS_PER_RETRY;

/** Base of the exponential delay before a refused caller may try again. */
const BASE_RETRY_DELAY_MS = 200;

/** Upper bound of the delay before a refused caller may try again. */
const MAX_RETRY_DELAY_MS = 10_000;

type AccountState = {openRequests: number; retryBudget: number; consecutiveRefusals: number};

/** Admission control. Refuses requests that the entry cannot serve before they cause work, so that a load peak does not grow into an outage. */
export class Admission {
	readonly #random: () => number;
	readonly #accounts = new Map<string, AccountState>();
	#openRequests = 0;

	/**
	 * @param random - Random numbers from 0 to 1, for the jitter of retry delays.
	 */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	/**
	 * Admits a request or refuses it before anything is written.
	 *
	 * @param account - The client account.
	 * @param isRetry - Whether the caller declares the request as a retry.
	 * @returns A function to call when the request has ended, or the refusal with its delay in `retryAfterMs`.
	 */
	admit(account: string, isRetry: boolean): Result<() => void, ApiError> {
		const state = this.#accounts.get(account) ?? {openRequests: 0, retryBudget: MAX_RETRY_BUDGET, consecutiveRefusals: 0};
		this.#accounts.set(account, state);
		if (state.openRequests >= MAX_OPEN_REQUESTS_PER_ACCOUNT) {
			return this.#refuse(state, 'account_limit', `The account has ${state.openRequests} requests open at this entry.`);
		}

		if (this.#openRequests >= MAX_OPEN_REQUESTS) {
			return this.#refuse(state, 'overloaded', 'This entry has too many requests open.');
		}

		if (isRetry && state.retryBudget < NEW_REQUESTS_PER_RETRY) {
			return this.#refuse(state, 'overloaded', 'The account has used up its share of retries; new requests are still served.');
		}

		state.retryBudget = isRetry ? state.retryBudget - NEW_REQUESTS_PER_RETRY : Math.min(MAX_RETRY_BUDGET, state.retryBudget + 1);
		state.consecutiveRefusals = 0;
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
		state.consecutiveRefusals += 1;
		const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * (2 ** Math.min(state.consecutiveRefusals, 10)));
		const retryAfterMs = Math.ceil(maxDelayMs * (0.5 + (this.#random() / 2)));
		// The outcome is unknown: an earlier request with the same key may have been accepted, and looking it up would add load to an overloaded entry.
		return err(apiError(code, `${message} Try again in ${retryAfterMs} ms.`, {outcome: 'unknown', details: {retryAfterMs}}));
	}
}
