import {formatAddress, type Address} from '@amaranthsail/core';
import {createTRPCClient, createWSClient, wsLink, type TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import {PEER_PATH} from './peer-server.js';
import type {PeerRouter} from './peer-router.js';

/** Makes one call by a client of another entry. */
export type PeerCall<Answer> = (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Answer>;

/** Connections to the other entries, opened when first used. */
export class PeerClients {
	readonly #sharedSecret: string;
	readonly #connections = new Map<string, {readonly client: TRPCClient<PeerRouter>; readonly close: () => void}>();

	/**
	 * @param sharedSecret - The secret that all processes share.
	 */
	constructor(sharedSecret: string) {
		this.#sharedSecret = sharedSecret;
	}

	/**
	 * Calls another entry and gives up after a time.
	 *
	 * @param address - The HTTP address of the other entry.
	 * @param timeoutMs - Longest wait.
	 * @param invoke - Makes the call.
	 * @returns The answer, or undefined when the entry cannot be reached or does not answer in time.
	 */
	async call<Answer>(
		address: Address,
		timeoutMs: number,
		invoke: PeerCall<Answer>,
	): Promise<Answer | undefined> {
		const controller = new AbortController();
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<undefined>(resolve => {
			timer = setTimeout(() => {
				controller.abort();
				resolve(undefined);
			}, timeoutMs);
		});
		try {
			const answer = invoke(this.#clientOf(address), controller.signal).catch(() => undefined);
			return await Promise.race([answer, timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	/**
	 * Drops the connections to entries that have gone.
	 *
	 * @param present - Addresses of the entries that are there.
	 */
	retain(present: readonly Address[]): void {
		const keys = new Set(present.map(address => formatAddress(address)));
		for (const [key, connection] of this.#connections) {
			if (!keys.has(key)) {
				connection.close();
				this.#connections.delete(key);
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		this.retain([]);
	}

	#clientOf(address: Address): TRPCClient<PeerRouter> {
		const key = formatAddress(address);
		const known = this.#connections.get(key);
		if (known) {
			return known.client;
		}

		const socket = createWSClient({
			url: `ws://${key}${PEER_PATH}`,
			// The types of `ws` differ from the browser's in details that are not used.
			WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
			connectionParams: {secret: this.#sharedSecret},
			lazy: {enabled: true, closeMs: 60_000},
			retryDelayMs: attempt => Math.min(100 * (2 ** attempt), 2000),
		});
		const client = createTRPCClient<PeerRouter>({links: [wsLink<PeerRouter>({client: socket})]});
		this.#connections.set(key, {
			client,
			close() {
				void socket.close();
			},
		});
		return client;
	}
}
