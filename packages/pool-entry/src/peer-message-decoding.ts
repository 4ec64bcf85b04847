import {
	asFields, asList, isAddress, isCount, isText, numberOr, textOr,
} from '@amaranthsail/core';
import {
	decodeJobRow, isEpoch, JOB_STATES, type JobState, type StoredRow,
} from '@amaranthsail/pool';
import type {JobRequestOutcome} from './job-request-outcome.js';
import type {
	HelloAnswer, HelloRequest, JobStateAnswer, JobStateRequest, RelayRequest, StoredNotice,
} from './peer-messages.js';

/** Largest budget of a relayed request; entries give them less than 1 s. */
const MAX_RELAY_BUDGET_MS = 60_000;

const OUTCOME_KINDS: ReadonlySet<unknown> = new Set<JobRequestOutcome['kind']>(['accepted', 'configuration_changed', 'conflict', 'state', 'no_such_job', 'cancelled', 'too_many_cancellations', 'not_stored', 'unknown']);

/** @returns The call of another entry, or undefined when it is malformed. */
export function decodeHelloRequest(body: unknown): HelloRequest | undefined {
	const {address, epoch, configRowVersion, failureDomain, cores} = asFields(body);
	// An entry of an earlier release names neither its failure domain nor its capacity.
	return isAddress(address) && isEpoch(epoch) && isCount(configRowVersion)
		? {
			address, epoch, configRowVersion, failureDomain: textOr(failureDomain, ''), cores: numberOr(cores, 0),
		}
		: undefined;
}

/** @returns The answer of another entry, or undefined when it is malformed. */
export function decodeHelloAnswer(body: unknown): HelloAnswer | undefined {
	const {epoch, isLeading, configRowVersion, configBehindMs, entries, pending, isDeputy, largestCores} = asFields(body);
	if (!isEpoch(epoch) || typeof isLeading !== 'boolean' || !isCount(configRowVersion)) {
		return undefined;
	}

	return {
		epoch,
		isLeading,
		configRowVersion,
		...(isCount(configBehindMs, 1) && {configBehindMs}),
		entries: asList(entries).filter(entry => isAddress(entry)),
		...(isCounts(pending) && {pending}),
		isDeputy: isDeputy !== false,
		largestCores: numberOr(largestCores, 0),
	};
}

function isCounts(value: unknown): value is Readonly<Record<string, number>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value) && Object.values(value).every(count => isCount(count));
}

/** @returns The request for a job's state, or undefined when it is malformed. */
export function decodeJobStateRequest(body: unknown): JobStateRequest | undefined {
	const {jobId} = asFields(body);
	return isText(jobId) ? {jobId} : undefined;
}

/** @returns The leader's answer on a job, or undefined when it is malformed. */
export function decodeJobStateAnswer(body: unknown): JobStateAnswer | undefined {
	const {isLeading, state, account} = asFields(body);
	if (typeof isLeading !== 'boolean') {
		return undefined;
	}

	return isJobState(state) && isText(account) ? {isLeading, state, account} : {isLeading};
}

/** @returns The notice of a stored job or cancellation, or undefined when it is malformed. */
export function decodeStoredNotice(body: unknown): StoredNotice | undefined {
	const {jobId, row, isCancelled} = asFields(body);
	const job = decodeJobRow(row);
	if (!isText(jobId) || (row !== undefined && !job)) {
		return undefined;
	}

	return {jobId, ...(job && {row: job}), ...(isCancelled === true && {isCancelled})};
}

/** @returns The relayed request, or undefined when it is malformed. */
export function decodeRelayRequest(body: unknown): RelayRequest | undefined {
	const {kind, jobId, account, row, configRowVersion, budgetMs} = asFields(body);
	if (!isText(jobId) || typeof budgetMs !== 'number' || !(budgetMs >= 0 && budgetMs <= MAX_RELAY_BUDGET_MS)) {
		return undefined;
	}

	if (kind === 'submit') {
		const job = decodeJobRow(row);
		return job && isCount(configRowVersion)
			? {
				kind, jobId, row: job, configRowVersion, budgetMs,
			}
			: undefined;
	}

	return (kind === 'cancel' || kind === 'state') && isText(account)
		? {
			kind, jobId, account, budgetMs,
		}
		: undefined;
}

/** @returns The outcome of a relayed request, or undefined when the answer is malformed. */
export function decodeRelayOutcome(body: unknown): JobRequestOutcome | undefined {
	const {kind, state} = asFields(body);
	if (!OUTCOME_KINDS.has(kind) || (kind === 'state' && !isJobState(state))) {
		return undefined;
	}

	return body as JobRequestOutcome;
}

function isJobState(value: unknown): value is JobState {
	return Object.values(JOB_STATES).includes(value as JobState);
}

/** @returns A stored row that another entry sends, or undefined when it is malformed. */
export function decodeStoredRow(value: unknown): StoredRow | undefined {
	const {table, key, version, isRemoved, value: content} = asFields(value);
	return isText(table) && isText(key) && isCount(version)
		? {
			table, key, version, isRemoved: isRemoved === true, value: content,
		}
		: undefined;
}
