import http from 'node:http';
import type {Address} from '@amaranthsail/core';
import type {OwnerAddress} from './agent-event.js';

/** Timeout of an owner query; shorter than the interval between two queries. */
export const OWNER_QUERY_TIMEOUT_MS = 900;

const MAX_RESPONSE_BYTES = 4096;

/** Failure domain and credentials of an owner query. */
export type OwnerQueryOptions = {
	readonly failureDomain: string;
	readonly sharedSecret: string;
};

/**
 * Queries an entry for the owner of the failure domain.
 *
 * @param entry - HTTP address of the entry.
 * @param options - The failure domain and the secret that authenticates the query.
 * @returns The owner, or undefined when the entry does not answer, refuses the query or knows no owner.
 */
export async function queryOwner(entry: Address, options: OwnerQueryOptions): Promise<OwnerAddress | undefined> {
	const text = await getText(entry, `/v1/owners/${encodeURIComponent(options.failureDomain)}`, options.sharedSecret);
	return text === undefined ? undefined : parseOwner(text);
}

function parseOwner(text: string): OwnerAddress | undefined {
	try {
		const {ownerId, epoch, host, port} = JSON.parse(text) as Record<string, unknown>;
		return typeof ownerId === 'string' && typeof host === 'string' && isInteger(epoch) && isInteger(port)
			? {ownerId, epoch, address: {host, port}}
			: undefined;
	} catch {
		return undefined;
	}
}

function isInteger(value: unknown): value is number {
	return Number.isInteger(value);
}

async function getText(entry: Address, path: string, sharedSecret: string): Promise<string | undefined> {
	return new Promise(resolve => {
		const request = http.get({
			host: entry.host,
			port: entry.port,
			path,
			// Queries are rare; a keep-alive connection would only use memory.
			agent: false,
			signal: AbortSignal.timeout(OWNER_QUERY_TIMEOUT_MS),
			headers: {authorization: `Bearer ${sharedSecret}`},
		}, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				text += chunk;
				if (text.length > MAX_RESPONSE_BYTES) {
					response.destroy();
				}
			});
			response.on('close', () => {
				resolve(response.complete && response.statusCode === 200 ? text : undefined);
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
	});
}
