import type {TaskAssignment, TaskKey} from '@amaranthsail/core/messages.js';
import {err, ok, type Result} from '@amaranthsail/core/result.js';
import {NodeHttpService} from './node-http-service.js';
import {parseResponse} from './parse-response.js';
import type {HttpServiceOptions, ParsedResponse, ServiceClient} from './service-call.js';
import type {
	RuntimeError, RuntimeFacts, RuntimeTask, WorkerRuntime,
} from './worker-runtime.js';

/** Client of the worker on the same VM, over node:http with keep-alive connections. */
export class HttpWorkerRuntime implements WorkerRuntime {
	readonly #service: ServiceClient;

	/**
	 * @param options - Address and limits; 4 parallel calls by default.
	 */
	constructor(options: HttpServiceOptions) {
		this.#service = new NodeHttpService(options);
	}

	/**
	 * Reads the capacity and the rack of the worker.
	 *
	 * @returns Capacity and rack.
	 */
	async facts(): Promise<Result<RuntimeFacts, RuntimeError>> {
		return this.#get<RuntimeFacts>('facts');
	}

	/**
	 * Starts a task once.
	 *
	 * @param key - The task.
	 * @param assignment - What to run.
	 * @param leaseUntilMs - Expiry of the lease, at which the worker stops the task, in monotonic milliseconds of the VM.
	 * @returns The task, or `outcome_unknown` when the request was sent and no complete response was received.
	 */
	async start(key: TaskKey, assignment: TaskAssignment, leaseUntilMs: number): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#post<RuntimeTask>('start', {key, assignment, leaseUntilMs});
	}

	/**
	 * Renews leases.
	 *
	 * @param leases - The tasks and the new expiries of their leases.
	 * @returns Nothing, or the error.
	 */
	async renew(leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>): Promise<Result<undefined, RuntimeError>> {
		return discardValue(await this.#post('renew', {leases}));
	}

	/**
	 * Starts a checkpoint of a running task.
	 *
	 * @param key - The task.
	 * @returns Nothing, or the error.
	 */
	async checkpoint(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return discardValue(await this.#post('checkpoint', {key}));
	}

	/**
	 * Reduces the speed of a task.
	 *
	 * @param key - The task.
	 * @returns Nothing, or the error.
	 */
	async throttle(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return discardValue(await this.#post('throttle', {key}));
	}

	/**
	 * Stops a task.
	 *
	 * @param key - The task.
	 * @returns The ended task, or `outcome_unknown`.
	 */
	async stop(key: TaskKey): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#post<RuntimeTask>('stop', {key});
	}

	/**
	 * Lists all tasks that were not forgotten.
	 *
	 * @returns The tasks.
	 */
	async list(): Promise<Result<readonly RuntimeTask[], RuntimeError>> {
		return this.#get<readonly RuntimeTask[]>('tasks');
	}

	/**
	 * Makes the worker forget an ended task.
	 *
	 * @param key - The task.
	 * @returns Nothing, or the error.
	 */
	async forget(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return discardValue(await this.#post('forget', {key}));
	}

	/** Closes all connections; calls in flight end without a response. */
	async close(): Promise<void> {
		await this.#service.close();
	}

	async #get<Value>(name: string): Promise<Result<Value, RuntimeError>> {
		return readResult<Value>(parseResponse(await this.#service.call({method: 'GET', path: `/v1/runtime/${name}`})), 'unavailable');
	}

	async #post<Value>(name: string, body: unknown): Promise<Result<Value, RuntimeError>> {
		return readResult<Value>(parseResponse(await this.#service.call({
			method: 'POST', path: `/v1/runtime/${name}`, contentType: 'application/json', body: JSON.stringify(body),
		})), 'outcome_unknown');
	}
}

function discardValue(result: Result<unknown, RuntimeError>): Result<undefined, RuntimeError> {
	return result.ok ? ok(undefined) : result;
}

function readResult<Value>(response: ParsedResponse, unansweredKind: 'unavailable' | 'outcome_unknown'): Result<Value, RuntimeError> {
	switch (response.kind) {
		case 'not_sent': {
			return err({kind: 'unavailable', message: response.message});
		}

		case 'no_response': {
			return err({kind: unansweredKind, message: response.message});
		}

		case 'error': {
			return err(readError(response.status, response.error.kind, response.error.message) ?? {kind: unansweredKind, message: response.error.message});
		}

		case 'value': {
			return 'value' in response.body ? ok(response.body.value as Value) : err({kind: unansweredKind, message: 'the answer does not follow the protocol'});
		}
	}
}

function readError(status: number, kind: string, message: string): RuntimeError | undefined {
	if (status === 404 && kind === 'not_found') {
		return {kind: 'not_found'};
	}

	if (status === 409 && kind === 'refused') {
		return {kind: 'refused', message};
	}

	return status === 503 && kind === 'unavailable' ? {kind: 'unavailable', message} : undefined;
}
