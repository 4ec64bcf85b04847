import {err, FINAL_JOB_STATES, newId, ok, type Clock, type JobRow, type Result} from '@amaranthsail/core';
import {OWNER_TABLES} from '@amaranthsail/owner';
import type {TableStore} from '@amaranthsail/backing-services';
import type {Admission} from './admission.js';
import type {AnswerReader} from './answer-reader.js';
import {apiError, isApiErrorCode, type ApiError} from './api-error.js';
import type {ApiRequest, ApiResponse, Route} from './http-server.js';
import {checkJobRequest, MAX_JOB_WAIT_MS} from './job-request.js';
import type {JobStore} from './job-store.js';
import type {JobSubmission} from './job-submission.js';
import {jobViewOf} from './job-view.js';
import type {Metrics} from './metrics.js';
import type {OwnerGateway} from './owner-gateway.js';

/** Dependencies of {@link JobRoutes}. */
export type JobRoutesOptions = {
	readonly clock: Clock;
	readonly tables: TableStore;
	readonly admission: Admission;
	readonly submission: JobSubmission;
	readonly jobs: JobStore;
	readonly answers: AnswerReader;
	readonly owners: OwnerGateway;
	readonly metrics: Metrics;
	/** Whether this process is shutting down. */
	readonly isDraining: () => boolean;
	/** Longest wait for a job at present, in milliseconds; shorter during a drain. */
	readonly waitLimitMs: () => number;
};

/** API routes for client accounts. */
export class JobRoutes {
	readonly #options: JobRoutesOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: JobRoutesOptions) {
		this.#options = options;
	}

	/** Routes to serve. */
	get routes(): readonly Route[] {
		return [
			{method: 'POST', path: '/v1/jobs', role: 'account', handle: async request => this.#submit(request)},
			{method: 'GET', path: '/v1/jobs', role: 'account', handle: async request => this.#list(request)},
			{method: 'GET', path: '/v1/jobs/:jobId', role: 'account', handle: async request => this.#show(request)},
			{method: 'GET', path: '/v1/jobs/:jobId/answer', role: 'account', handle: async request => this.#answer(request)},
			{method: 'GET', path: '/v1/jobs/:jobId/explain', role: 'account', handle: async request => this.#explain(request)},
			{method: 'DELETE', path: '/v1/jobs/:jobId', role: 'account', handle: async request => this.#cancel(request)},
		];
	}

	async #submit(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const {admission, submission, owners, metrics, clock} = this.#options;
		if (this.#options.isDraining()) {
			return err(apiError('draining', 'This entry is shutting down; send the request with the same key to another one.', {outcome: 'unknown'}));
		}

		const key = request.headers['idempotency-key'];
		const checked = checkJobRequest(request.body, typeof key === 'string' ? key : undefined);
		if (!checked.ok) {
			return checked;
		}

		const account = request.identity.name;
		const admitted = admission.admit(account, request.headers['retry-attempt'] !== undefined);
		if (!admitted.ok) {
			return admitted;
		}

		const startedAtMs = clock.monotonicMs();
		try {
			const accepted = await submission.submit(account, checked.value);
			if (!accepted.ok) {
				metrics.count('jobs_refused', 1, {account, code: accepted.error.code});
				return accepted;
			}

			const {row, isNew} = accepted.value;
			metrics.histogram('accept_ms', clock.monotonicMs() - startedAtMs, {account, workClass: row.spec.workClass});
			if (isNew) {
				void owners.notify(row.failureDomain, [row.jobId]);
			}

			const waitMs = Math.min(checked.value.request.waitMs ?? 0, this.#options.waitLimitMs());
			const newest = waitMs > 0 ? await owners.waitForFinalState(row, waitMs) : row;
			return await this.#toResponse(newest, isNew ? 202 : 200);
		} finally {
			admitted.value();
		}
	}

	/** Describes a job: with its answer when it is completed, as an error when it was refused. */
	async #toResponse(row: JobRow, openStatus: number): Promise<Result<ApiResponse, ApiError>> {
		const view = jobViewOf(row, this.#options.clock.wallMs());
		if (!view.final) {
			return ok({status: openStatus, body: view});
		}

		if (row.state === 'completed') {
			const answer = await this.#options.answers.read(row);
			// The job is completed even when its answer cannot be read at present; the caller can read it later through `href`.
			return ok({status: 200, body: answer.ok ? {...view, answer: answer.value} : {...view, answerError: answer.error}});
		}

		if (row.outcome === 'not_run' && row.reason && isApiErrorCode(row.reason.code)) {
			return err(apiError(row.reason.code, row.reason.message, {details: {...view}}));
		}

		return ok({status: 200, body: view});
	}

	async #show(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const found = await this.#readJob(request);
		if (!found.ok) {
			return found;
		}

		const waitMs = Number(request.query.waitMs ?? 0);
		if (!Number.isInteger(waitMs) || waitMs < 0 || waitMs > MAX_JOB_WAIT_MS) {
			return err(apiError('invalid_request', `waitMs must be a whole number from 0 to ${MAX_JOB_WAIT_MS}.`, {outcome: 'unknown'}));
		}

		const limitMs = Math.min(waitMs, this.#options.waitLimitMs());
		const row = limitMs > 0 ? await this.#options.owners.waitForFinalState(found.value, limitMs) : found.value;
		return ok({status: 200, body: jobViewOf(row, this.#options.clock.wallMs())});
	}

	async #list(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const listed = await this.#options.jobs.list(request.identity.name);
		const nowMs = this.#options.clock.wallMs();
		return listed.ok ? ok({status: 200, body: {jobs: listed.value.map(row => jobViewOf(row, nowMs))}}) : listed;
	}

	async #answer(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const found = await this.#readJob(request);
		if (!found.ok) {
			return found;
		}

		const answer = await this.#options.answers.read(found.value);
		return answer.ok ? ok({status: 200, body: answer.value}) : answer;
	}

	async #explain(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const found = await this.#readJob(request);
		if (!found.ok) {
			return found;
		}

		const row = found.value;
		if (row.state !== 'waiting') {
			return ok({status: 200, body: {jobId: row.jobId, state: row.state, summary: row.reason?.message ?? `The job is ${row.state}.`}});
		}

		const explanation = await this.#options.owners.explain(row.failureDomain, row.jobId);
		return explanation === undefined
			? err(apiError('owner_unavailable', `No owner of failure domain ${row.failureDomain} answers at the moment.`, {outcome: 'unknown'}))
			: ok({status: 200, body: explanation});
	}

	async #cancel(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const found = await this.#readJob(request);
		if (!found.ok) {
			return found;
		}

		const row = found.value;
		if (FINAL_JOB_STATES.has(row.state)) {
			return ok({status: 200, body: jobViewOf(row, this.#options.clock.wallMs())});
		}

		const isAcceptedByOwner = await this.#options.owners.cancel(row.failureDomain, [row.jobId]);
		const requested = isAcceptedByOwner ? ok(undefined) : await this.#persistCancellation(row.spec.account, row.jobId);
		if (!requested.ok) {
			return requested;
		}

		return ok({status: 202, body: {...jobViewOf(row, this.#options.clock.wallMs()), cancelRequested: true}});
	}

	/** Writes the cancellation request to the job's row, where the next owner reads it. Used when no owner can be reached. */
	async #persistCancellation(account: string, jobId: string): Promise<Result<undefined, ApiError>> {
		const readResult = await this.#options.jobs.read(account, jobId);
		if (!readResult.ok) {
			return readResult;
		}

		const {row, version} = readResult.value;
		const writeId = newId();
		const written = await this.#options.tables.transact({
			writeId,
			conditions: [{table: OWNER_TABLES.jobs, key: jobId, version}],
			writes: [{table: OWNER_TABLES.jobs, key: jobId, value: {...row, cancelRequested: true, writeId}}],
		});
		return written.ok
			? ok(undefined)
			: err(apiError('owner_unavailable', 'The cancellation could not be recorded; send it again.', {outcome: 'unknown'}));
	}

	async #readJob(request: ApiRequest): Promise<Result<JobRow, ApiError>> {
		const found = await this.#options.jobs.read(request.identity.name, request.parameters.jobId ?? '');
		return found.ok ? ok(found.value.row) : found;
	}
}
