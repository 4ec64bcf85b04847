import {request} from 'undici';

/** A response of the API. */
export type ApiResponse = {readonly status: number; readonly body: Record<string, unknown>};

/** Calls the API of one entry. */
export class ApiClient {
	readonly #address: string;
	readonly #token: string;

	/**
	 * @param address - `host:port` of the entry.
	 * @param token - Token of a client account or operator.
	 */
	constructor(address: string, token: string) {
		this.#address = address;
		this.#token = token;
	}

	/**
	 * Sends a request.
	 *
	 * @param method - The HTTP method.
	 * @param path - The path with its query.
	 * @param options - The body, the idempotency key and the timeout; 35,000 ms when absent.
	 * @returns Status and body of the response.
	 * @throws The error of the connection, or a timeout.
	 */
	async call(
		method: 'GET' | 'PUT' | 'POST' | 'DELETE',
		path: string,
		options: {readonly body?: unknown; readonly key?: string; readonly timeoutMs?: number} = {},
	): Promise<ApiResponse> {
		const timeoutMs = options.timeoutMs ?? 35_000;
		const response = await request(`http://${this.#address}${path}`, {
			method,
			headers: {
				authorization: `Bearer ${this.#token}`,
				'content-type': 'application/json',
				...(options.key === undefined ? {} : {'idempotency-key': options.key}),
			},
			body: options.body === undefined ? undefined : JSON.stringify(options.body),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
	}
}
