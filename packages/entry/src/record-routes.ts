import {err, ok, type Result} from '@amaranthsail/core';
import {isRecordKind, refusalOf, type ConfigError, type ConfigStore, type RecordKind} from '@amaranthsail/records';
import {z} from 'zod';
import {apiError, type ApiError, type ApiErrorCode} from './api-error.js';
import type {ApiRequest, ApiResponse, Route} from './http-server.js';

const changeFields = {
	baseRevision: z.int().min(0).optional(),
	takeOwnership: z.array(z.string()).max(1000).optional(),
};

const submitBodySchema = z.strictObject({record: z.unknown(), ...changeFields});
const withdrawBodySchema = z.strictObject(changeFields);
const diffBodySchema = z.strictObject({records: z.array(z.unknown()).min(1).max(1000)});

const API_CODE_BY_CONFIG_ERROR: Readonly<Record<ConfigError['kind'], ApiErrorCode>> = {
	invalid_record: 'invalid_record',
	field_conflict: 'field_conflict',
	missing_reference: 'refused_record',
	still_referenced: 'refused_record',
	guarantees_do_not_pack: 'refused_record',
	ambiguous_policy: 'refused_record',
	record_not_found: 'not_found',
	contention: 'overloaded',
	store_unavailable: 'store_unavailable',
	outcome_unknown: 'outcome_unknown',
};

/** API routes with which operators read and change records. */
export class RecordRoutes {
	readonly #store: ConfigStore;
	readonly #onChanged: () => void;

	/**
	 * @param store - Stores the records.
	 * @param onChanged - Called after each record that was or may have been submitted or withdrawn, so that a change is in force here before the next poll.
	 */
	constructor(store: ConfigStore, onChanged: () => void) {
		this.#store = store;
		this.#onChanged = onChanged;
	}

	/** Routes to serve. */
	get routes(): readonly Route[] {
		return [
			{method: 'GET', path: '/v1/records', role: 'operator', handle: async () => this.#list(undefined)},
			{method: 'GET', path: '/v1/records/:kind', role: 'operator', handle: async request => this.#withKind(request, async kind => this.#list(kind))},
			{method: 'GET', path: '/v1/records/:kind/:name', role: 'operator', handle: async request => this.#show(request)},
			{method: 'PUT', path: '/v1/records/:kind/:name', role: 'operator', handle: async request => this.#submit(request)},
			{method: 'DELETE', path: '/v1/records/:kind/:name', role: 'operator', handle: async request => this.#withdraw(request)},
			{method: 'POST', path: '/v1/records/diff', role: 'operator', handle: async request => this.#diff(request)},
		];
	}

	async #list(kind: RecordKind | undefined): Promise<Result<ApiResponse, ApiError>> {
		return toResponse(await this.#store.list(kind));
	}

	async #show(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		return this.#withKind(request, async kind => toResponse(await this.#store.get(kind, nameOf(request))));
	}

	async #submit(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		return this.#withKind(request, async kind => {
			const body = parseBody(submitBodySchema, request.body);
			if (!body.ok) {
				return body;
			}

			const {record} = body.value;
			const id = z.object({kind: z.literal(kind), name: z.literal(nameOf(request))}).safeParse(record);
			if (!id.success) {
				return err(apiError('invalid_request', `The record's kind and name must be those of the path, ${kind}/${nameOf(request)}.`));
			}

			return this.#respondToChange(await this.#store.submit({...body.value, record}, request.identity.name));
		});
	}

	async #withdraw(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		return this.#withKind(request, async kind => {
			const body = parseBody(withdrawBodySchema, request.body ?? {});
			if (!body.ok) {
				return body;
			}

			return this.#respondToChange(await this.#store.withdraw({kind, name: nameOf(request), ...body.value}, request.identity.name));
		});
	}

	async #diff(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const body = parseBody(diffBodySchema, request.body);
		return body.ok ? toResponse(await this.#store.diff(body.value.records, request.identity.name)) : body;
	}

	#respondToChange(result: Result<unknown, ConfigError>): Result<ApiResponse, ApiError> {
		if (result.ok || result.error.kind === 'outcome_unknown') {
			this.#onChanged();
		}

		return toResponse(result);
	}

	async #withKind(
		request: ApiRequest,
		handle: (kind: RecordKind) => Promise<Result<ApiResponse, ApiError>>,
	): Promise<Result<ApiResponse, ApiError>> {
		const {kind} = request.parameters;
		return isRecordKind(kind) ? handle(kind) : err(apiError('not_found', `There is no kind of record named ${kind ?? ''}.`));
	}
}

function nameOf(request: ApiRequest): string {
	return request.parameters.name ?? '';
}

function parseBody<Value>(schema: z.ZodType<Value>, body: unknown): Result<Value, ApiError> {
	const parsed = schema.safeParse(body);
	return parsed.success
		? ok(parsed.data)
		: err(apiError('invalid_request', `The body is not valid: ${z.prettifyError(parsed.error)}`));
}

function toResponse(result: Result<unknown, ConfigError>): Result<ApiResponse, ApiError> {
	if (result.ok) {
		return ok({status: 200, body: result.value});
	}

	const {message, outcome, code, retryable: _retryable, ...details} = refusalOf(result.error);
	return err(apiError(API_CODE_BY_CONFIG_ERROR[result.error.kind], message, {outcome, details: {...details, reason: code}}));
}
