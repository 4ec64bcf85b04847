import {formatAddress, type Address} from '@amaranthsail/core';

/**
 * Sends a request and reads the JSON response, with a timeout of 5,000 ms.
 *
 * @param address - The server.
 * @param method - The HTTP method.
 * @param path - The path with its query.
 * @param body - Sent as JSON when given.
 * @returns Status and body.
 */
export async function fetchJson(address: Address, method: string, path: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown}> {
	const response = await fetch(`http://${formatAddress(address)}${path}`, {
		method, body: body === undefined ? undefined : JSON.stringify(body), signal: AbortSignal.timeout(5000),
	});
	return {status: response.status, body: await response.json()};
}
