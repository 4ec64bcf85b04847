import {
	err,
	jobIdOf,
	newId,
	newJobRow,
	ok,
	type Clock,
	type JobRow,
	type JobSpec,
	type Result,
} from '@amaranthsail/core';
import {openJobKey, OWNER_TABLES} from '@amaranthsail/owner';
import {commitWithRetries, type ObjectStore, type TableStore, type Transaction} from '@amaranthsail/backing-services';
import {apiError, type ApiError} from './api-error.js';
import type {Catalog} from './catalog.js';
import type {CheckedJobRequest} from './job-request.js';
import type {JobRouter} from './job-router.js';
import {buildJobSpec} from './job-spec.js';
import {ACCOUNT_JOBS_TABLE, accountJobKey, storeReadError} from './job-store.js';
import {sleep} from './sleep.js';

/** Dependencies of {@link JobSubmission}. */
export type JobSubmissionOptions = {
	readonly tables: TableStore;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly router: JobRouter;
	/** The configuration in force, or undefined until it is confirmed. */
	readonly catalog: () => Catalog | undefined;
};

/** A stored job, and whether this request created it. */
export type SubmissionResult = {readonly row: JobRow; readonly isNew: boolean};

/** Accepts jobs, each by one conditional transaction on a row whose key derives from the client account and the idempotency key. */
export class JobSubmission {
	readonly #options: JobSubmissionOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: JobSubmissionOptions) {
		this.#options = options;
	}

	/**
	 * Accepts a job, or finds the job that an earlier request with the same key created.
	 *
	 * The row is looked up before the job is refused, so that a retry of an accepted request gets its job
	 * and the outcome `not_run` is returned only when there is no such job.
	 *
	 * @param account - The client account.
	 * @param checkedRequest - The checked request.
	 * @returns The job, or the error with its outcome.
	 */
	async submit(account: string, checkedRequest: CheckedJobRequest): Promise<Result<SubmissionResult, ApiError>> {
		const catalog = this.#options.catalog();
		if (!catalog) {
			return err(apiError('not_ready', 'This entry has not confirmed its configuration yet.', {outcome: 'unknown'}));
		}

		const jobId = jobIdOf(account, checkedRequest.idempotencyKey);
		const existing = await this.#findExisting(jobId, checkedRequest);
		if (!existing.ok) {
			return existing;
		}

		if (existing.value) {
			return ok({row: existing.value, isNew: false});
		}

		const spec = buildJobSpec(account, checkedRequest, catalog, this.#options.clock.wallMs());
		if (!spec.ok) {
			return spec;
		}

		const {router} = this.#options;
		const ranked = router.rankFailureDomains(spec.value, catalog);
		const failureDomain = ranked.find(name => router.loadRefusal(account, name, catalog) === undefined);
		if (failureDomain === undefined) {
			const code = router.loadRefusal(account, ranked[0]!, catalog) ?? 'overloaded';
			return err(apiError(code, code === 'account_limit'
				? `Account ${account} has as many waiting jobs as it may have.`
				: 'Too many jobs wait in every failure domain.'));
		}

		const stored = await this.#storeInput(jobId, checkedRequest, spec.value);
		return stored.ok ? this.#persist(jobId, failureDomain, stored.value, checkedRequest) : stored;
	}

	async #findExisting(jobId: string, checkedRequest: CheckedJobRequest): Promise<Result<JobRow | undefined, ApiError>> {
		const found = await this.#options.tables.get(OWNER_TABLES.jobs, jobId);
		if (!found.ok) {
			return err(storeReadError(found.error));
		}

		const row = found.value?.value as JobRow | undefined;
		if (row && row.bodyDigest !== checkedRequest.bodyDigest) {
			return err(apiError('idempotency_conflict', `The key ${checkedRequest.idempotencyKey} was used for another request.`, {details: {jobId}}));
		}

		return ok(row);
	}

	async #storeInput(jobId: string, checkedRequest: CheckedJobRequest, spec: JobSpec): Promise<Result<JobSpec, ApiError>> {
		if (checkedRequest.inputText === undefined || spec.inlineInput !== undefined) {
			return ok(spec);
		}

		// The digest is part of the key, so that a conflicting request cannot overwrite the input of an accepted one.
		const inputKey = `inputs/${jobId}/${checkedRequest.bodyDigest}`;
		const stored = await this.#options.objects.put(inputKey, new TextEncoder().encode(checkedRequest.inputText));
		return stored.ok
			? ok({...spec, inputKey})
			: err(apiError('store_unavailable', `The input was not stored (${stored.error.message}); send the request again.`));
	}

	async #persist(jobId: string, failureDomain: string, spec: JobSpec, checkedRequest: CheckedJobRequest): Promise<Result<SubmissionResult, ApiError>> {
		const acceptedAtMs = this.#options.clock.wallMs();
		const row = newJobRow({jobId, spec, bodyDigest: checkedRequest.bodyDigest, failureDomain, acceptedAtMs, writeId: newId()});
		const transaction: Transaction = {
			writeId: row.writeId,
			conditions: [{table: OWNER_TABLES.jobs, key: jobId, version: 0}],
			writes: [
				{table: OWNER_TABLES.jobs, key: jobId, value: row},
				{table: OWNER_TABLES.openJobs, key: openJobKey(failureDomain, jobId), value: {jobId, writeId: row.writeId}},
				{table: ACCOUNT_JOBS_TABLE, key: accountJobKey(spec.account, acceptedAtMs, jobId), value: {jobId, writeId: row.writeId}},
			],
		};
		const committed = await commitWithRetries(this.#options.tables, transaction, {
			clock: this.#options.clock,
			random: Math.random,
			wait: sleep,
		});
		if (committed.ok) {
			return ok({row, isNew: true});
		}

		switch (committed.error.kind) {
			case 'condition_failed': {
				const existing = await this.#findExisting(jobId, checkedRequest);
				return existing.ok && existing.value ? ok({row: existing.value, isNew: false}) : outcomeUnknownError(jobId);
			}

			case 'outcome_unknown': {
				return outcomeUnknownError(jobId);
			}

			case 'unavailable': {
				return err(apiError('store_unavailable', `The store is not available (${committed.error.message}); the request was not accepted.`));
			}

			case 'rejected': {
				return err(apiError('internal', `The store rejected the request: ${committed.error.message}.`));
			}
		}
	}
}

function outcomeUnknownError(jobId: string): Result<never, ApiError> {
	const message = 'The store did not confirm the request. Send it again with the same key, or ask for the job.';
	return err(apiError('outcome_unknown', message, {outcome: 'unknown', details: {jobId, href: `/v1/jobs/${jobId}`}}));
}
