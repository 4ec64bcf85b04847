import {formatAddress, type Address} from '@amaranthsail/core';
import {createTRPCClient, createWSClient, wsLink, type TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import type {PeerRouter} from './peer-router.js';
import {PEER_PATH} from './peer-server.js';

/** A call to another entry through its client. */
export type PeerCall<Answer> = (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Answer>;

/** Clients of the other entries. Connections are opened on first use. */
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
	 * Calls another entry with a timeout.
	 *
	 * @param address - The HTTP address of the other entry.
	 * @param timeoutMs - Longest wait for the answer, in milliseconds.
	 * @param invoke - Makes the call.
	 * @returns The answer, or undefined when the call fails or times out.
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
	 * Closes the connections to all entries except the given ones.
	 *
	 * @param addresses - Addresses of the entries whose connections are kept.
	 */
	retain(addresses: readonly Address[]): void {
		const keys = new Set(addresses.map(address => formatAddress(address)));
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
		const existing = this.#connections.get(key);
		if (existing) {
			return existing.client;
		}

		const webSocketClient = createWSClient({
			url: `ws://${key}${PEER_PATH}`,
			// The types of `ws` differ from the browser's only in details that are not used here.
			WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
			connectionParams: {secret: this.#sharedSecret},
			lazy: {enabled: true, closeMs: 60_000},
			retryDelayMs: attempt => Math.min(100 * (2 ** attempt), 2000),
		});
		const client = createTRPCClient<PeerRouter>({links: [wsLink<PeerRouter>({client: webSocketClient})]});
		this.#connections.set(key, {
			client,
			close() {
				void webSocketClient.close();
			},
		});
		return client;
	}
}
