import {Server, type IncomingMessage, type ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {BoundedConnection} from './bounded-connection.js';
import {ByteBudget, STALL_MS} from './byte-budget.js';
import type {ListenerLimits} from './listener-limits.js';

/** Interval at which time limits are checked; the resolution of the server's clock. */
const CHECK_INTERVAL_MS = 250;

/** A process that has not run for longer than this has not read what its clients have sent meanwhile, so that this time is not counted. */
const MAX_CLOCK_STEP_MS = 2 * CHECK_INTERVAL_MS;

/** Idle time after which a connection of the system itself may be closed for a new one; its clients keep one for 20 s. */
const TRUSTED_IDLE_MS = 20_000;

/** Receives what a server has done about its clients. */
export interface ListenerObserver {
	/** A connection was closed, or refused when it was opened. */
	onClosed(listener: string, reason: string): void;
	/** A request is answered with a refusal. */
	onRefused(listener: string, reason: string): void;
	/** Reports the present state, several times a second. */
	onState(listener: string, state: {readonly connections: number; readonly heldBytes: number}): void;
}

/** Handles a request; the limits of the listener are those of its server. */
export type BoundedRequestListener = (message: IncomingMessage, response: ServerResponse) => void;

/** An HTTP server whose clients together use a bounded number of connections and bytes. */
export class BoundedServer extends Server {
	readonly #limits: ListenerLimits;
	readonly #observer: ListenerObserver | undefined;
	readonly #connections = new Set<BoundedConnection>();
	readonly #budget: ByteBudget;
	readonly #timer: NodeJS.Timeout;
	#checkedAtMs = performance.now();
	#nowMs = 0;

	/**
	 * @param limits - What the clients may use.
	 * @param observer - Receives refusals and the present state.
	 * @param onRequest - Handles a request.
	 */
	constructor(limits: ListenerLimits, observer: ListenerObserver | undefined, onRequest: BoundedRequestListener) {
		// The checks of Node.js count the time for which the process did not run.
		super({maxHeaderSize: limits.maxHeaderBytes, headersTimeout: 0, requestTimeout: 0}, onRequest);
		this.#limits = limits;
		this.#observer = observer;
		this.#budget = new ByteBudget(limits.maxHeldBytes, this.#connections);
		// Node.js drops further fields silently. A field has at least four bytes, so that a legal head never has more.
		this.maxHeadersCount = Math.ceil(limits.maxHeaderBytes / 4);
		this.#timer = setInterval(() => {
			this.#check();
		}, CHECK_INTERVAL_MS);
		this.#timer.unref();
		this.once('close', () => {
			clearInterval(this.#timer);
		});
	}

	/** Puts a stream with limits between each socket and the parser, and counts each request. */
	override emit(event: string, ...values: any[]): boolean {
		if (event === 'connection' && values[0] instanceof Socket) {
			const connection = this.#accept(values[0]);
			return connection !== undefined && super.emit('connection', connection);
		}

		if (event === 'request') {
			const [message, response] = values as [IncomingMessage, ServerResponse];
			// Node.js declares only sockets, and accepts any duplex stream.
			(message.socket as unknown as BoundedConnection).begin(message, response);
		}

		return super.emit(event, ...values as unknown[]);
	}

	#accept(socket: Socket): BoundedConnection | undefined {
		const {name, maxConnections} = this.#limits;
		if (this.#connections.size >= maxConnections) {
			this.#selectReplaceable()?.closeFor('replaced');
		}

		if (this.#connections.size >= maxConnections) {
			this.#observer?.onClosed(name, 'refused');
			socket.on('error', () => undefined);
			socket.destroy();
			return undefined;
		}

		const connection = new BoundedConnection(socket, {
			limits: this.#limits,
			budget: this.#budget,
			nowMs: () => this.#nowMs,
			onRefused: reason => {
				this.#observer?.onRefused(name, reason);
			},
			onClosed: reason => {
				this.#connections.delete(connection);
				this.#observer?.onClosed(name, reason);
			},
		});
		this.#connections.add(connection);
		connection.once('close', () => {
			this.#connections.delete(connection);
		});
		return connection;
	}

	/** The oldest idle connection, or else the one that has been stalled for longest; those of the system itself last. */
	#selectReplaceable(): BoundedConnection | undefined {
		let best: BoundedConnection | undefined;
		let bestRank = Number.NEGATIVE_INFINITY;
		for (const connection of this.#connections) {
			const rank = replacementRank(connection);
			if (rank > bestRank) {
				best = connection;
				bestRank = rank;
			}
		}

		return best;
	}

	#check(): void {
		const atMs = performance.now();
		this.#nowMs += Math.min(MAX_CLOCK_STEP_MS, atMs - this.#checkedAtMs);
		this.#checkedAtMs = atMs;
		for (const connection of this.#connections) {
			connection.check();
		}

		this.#observer?.onState(this.#limits.name, {connections: this.#connections.size, heldBytes: this.#budget.heldBytes});
	}
}

/** Above every time in milliseconds, so that each rank comes before the next. */
const RANK_STEP_MS = 1e12;

function replacementRank({idleMs, stalledMs, isTrusted}: BoundedConnection): number {
	if (isTrusted) {
		const unusedMs = idleMs ?? stalledMs;
		return unusedMs !== undefined && unusedMs >= TRUSTED_IDLE_MS ? unusedMs : Number.NEGATIVE_INFINITY;
	}

	if (idleMs !== undefined) {
		return (2 * RANK_STEP_MS) + idleMs;
	}

	return stalledMs !== undefined && stalledMs >= STALL_MS ? RANK_STEP_MS + stalledMs : Number.NEGATIVE_INFINITY;
}
