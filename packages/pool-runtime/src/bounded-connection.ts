import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {BudgetHolder} from './byte-budget.js';
import {type ConnectionContext, HEADER_TEXT_BYTES, REQUEST_BYTES} from './connection-context.js';
import {findExceededTimeout} from './connection-timeouts.js';
import {countDropped, countReceived} from './receive-buffers.js';
import {
	BODY_SLICE_BYTES, bodySliceBytes, CHUNKED_SLICE_BYTES, HEAD_TOO_LARGE, type InputPart, RequestInput,
} from './request-input.js';
import {SocketDuplex} from './socket-duplex.js';

/** Fewer bytes are no progress, so that single bytes do not keep a connection that holds much. */
const PROGRESS_BYTES = 4096;

/** Requests that one connection begins in a turn of the event loop, so that others are served between those of a long pipeline. */
const REQUESTS_PER_TURN = 1;

/** Bytes of further requests behind one; clients within the limits send a few at once. Many requests at once outlive the young generation. */
const LONG_PIPELINE_BYTES = 4096;

type OpenRequest = {readonly message: IncomingMessage; readonly response: ServerResponse; heldBytes: number; isRefused: boolean};

/**
 * A connection between socket and parser. Counts what it holds in the budget of its listener. Gives the parser whole heads
 * only, because a parsed field of a few bytes needs ten times its length, and none while enough requests are in progress.
 */
export class BoundedConnection extends SocketDuplex implements BudgetHolder {
	readonly #context: ConnectionContext;
	readonly #requests = new Map<IncomingMessage, OpenRequest>();
	#heldBytes = 0;
	readonly #pending = new RequestInput();
	#isReadWanted = false;
	#isFeeding = false;
	#hasEnded = false;
	/** Reason for which the connection is closed after the requests that are being handled. */
	#endingFor: string | undefined;
	/** Whether anything but empty lines has arrived. */
	#hasReceived = false;
	#isTrusted = false;
	#bodyBytesLeft: number | undefined;
	#last: IncomingMessage | undefined;
	/** Since when the connection has been in its present phase: idle, or reading a head or a body. */
	#phaseAtMs: number;
	#progressAtMs: number;
	#requestsInTurn = 0;
	#unreportedBytes = 0;
	#sentBytes = 0;

	/**
	 * @param socket - The accepted socket.
	 * @param context - Limits and budget of the listener.
	 */
	constructor(socket: Socket, context: ConnectionContext) {
		super(socket, {decodeStrings: false, readableHighWaterMark: CHUNKED_SLICE_BYTES});
		this.#context = context;
		this.#phaseAtMs = context.nowMs();
		this.#progressAtMs = this.#phaseAtMs;
		socket.on('data', (chunk: Uint8Array) => {
			this.#onData(chunk);
		});
		socket.on('end', () => {
			this.#hasEnded = true;
			this.feed();
		});
		socket.on('error', error => {
			this.destroy(error);
		});
		socket.on('close', () => {
			this.destroy();
		});
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	get isTrusted(): boolean {
		return this.#isTrusted;
	}

	get stalledMs(): number | undefined {
		for (const {message, response} of this.#requests.values()) {
			if (message.complete && !response.writableEnded) {
				return undefined;
			}
		}

		return this.#context.nowMs() - this.#progressAtMs;
	}

	/** Time since the last request; undefined while there is a request or a part of one. */
	get idleMs(): number | undefined {
		return this.#requests.size === 0 && this.#pending.length === 0 && !this.#isReadingBody
			? this.#context.nowMs() - this.#phaseAtMs
			: undefined;
	}

	/** Closes the connection, and reports why. */
	closeFor(reason: string): void {
		if (!this.destroyed) {
			this.#context.onClosed(reason);
			countDropped(this.#heldBytes);
			this.destroy();
		}
	}

	/** Called by the server before a request is handled. */
	begin(message: IncomingMessage, response: ServerResponse): void {
		const request: OpenRequest = {
			message, response, heldBytes: REQUEST_BYTES + (message.rawHeaders.length * HEADER_TEXT_BYTES), isRefused: false,
		};
		this.#requests.set(message, request);
		this.#last = message;
		this.#pending.recordRequest();
		this.#requestsInTurn++;
		if (this.#requestsInTurn === 1) {
			setImmediate(() => {
				this.#requestsInTurn = 0;
				this.feed();
			});
		}

		const {'content-length': declaredBytes} = message.headers;
		this.#bodyBytesLeft = declaredBytes === undefined ? undefined : Number(declaredBytes);
		this.#enterPhase();
		if (!this.#update()) {
			request.isRefused = true;
			request.heldBytes = 0;
		}

		response.once('close', () => {
			this.#requests.delete(message);
			this.#isTrusted ||= this.#context.limits.isInternal && response.writableFinished && response.statusCode < 300;
			this.#enterPhase();
			this.#update(true);
			this.#closeIfAnswered();
			this.feed();
		});
	}

	/** @returns Whether there was no memory left for a request when it arrived. */
	isRefused(message: IncomingMessage): boolean {
		return this.#requests.get(message)?.isRefused ?? false;
	}

	/** @returns Whether further bytes for a request are reserved, until its answer has been sent. */
	reserve(message: IncomingMessage, bytes: number): boolean {
		const request = this.#requests.get(message);
		if (!request || this.destroyed) {
			return false;
		}

		request.heldBytes += bytes;
		if (this.#update()) {
			return true;
		}

		request.heldBytes -= bytes;
		return false;
	}

	/** @param bytes - Reserved bytes of a request that are free again. */
	release(message: IncomingMessage, bytes: number): void {
		const request = this.#requests.get(message);
		if (request) {
			request.heldBytes -= bytes;
			this.#update();
		}
	}

	/** Reports that a request is answered with a refusal. */
	reportRefusal(reason: string): void {
		this.#context.onRefused(reason);
	}

	/** Gives the parser what has arrived, as far as it takes more. */
	feed(): void {
		if (this.#isFeeding || this.#endingFor !== undefined || this.destroyed) {
			return;
		}

		this.#isFeeding = true;
		let length = this.#feedableBytes();
		while (length > 0 && !this.destroyed) {
			this.#feedSlice(length);
			length = this.#feedableBytes();
		}

		this.#isFeeding = false;
		if (this.destroyed || this.#endingFor !== undefined) {
			return;
		}

		if (this.#pending.length > 0 && !this.#isHeadIncomplete) {
			this.socket.pause();
		} else if (this.#hasEnded) {
			this.push(null);
		} else if (this.socket.isPaused()) {
			this.socket.resume();
		}

		if (!this.#update()) {
			this.#endFor('budget');
		}
	}

	/** Closes the connection if it has exceeded a time limit. Called regularly. */
	check(): void {
		this.#closeIfAnswered();
		this.feed();
		const {limits, nowMs} = this.#context;
		const {writableLength} = this.socket;
		const sentBytes = this.socket.bytesWritten - writableLength;
		if (writableLength > 0 && sentBytes - this.#sentBytes >= PROGRESS_BYTES) {
			this.#sentBytes = sentBytes;
			this.#progressAtMs = nowMs();
		}

		this.#update(true);
		const {idleMs, stalledMs} = this;
		const exceeded = findExceededTimeout({
			idleMs, stalledMs, phaseMs: nowMs() - this.#phaseAtMs, isReadingBody: this.#isReadingBody, hasOpenRequests: this.#requests.size > 0, hasReceived: this.#hasReceived,
		}, limits);
		if (exceeded) {
			this.closeFor(exceeded);
		}
	}

	override _read(): void {
		this.#isReadWanted = true;
		this.feed();
	}

	override _destroy(error: Error, callback: (error?: Error) => void): void {
		this.#context.budget.release(this.#heldBytes);
		this.#heldBytes = 0;
		this.#pending.clear();
		this.#requests.clear();
		this.socket.destroy();
		callback(error);
	}

	#onData(chunk: Uint8Array): void {
		countReceived(chunk.length);
		if (this.#endingFor) {
			return;
		}

		const wasIdle = this.idleMs !== undefined;
		this.#pending.append(chunk);
		const skippedBytes = this.#skipEmptyLines();
		this.#unreportedBytes += chunk.length - skippedBytes;
		if (this.#unreportedBytes >= PROGRESS_BYTES) {
			this.#unreportedBytes = 0;
			this.#progressAtMs = this.#context.nowMs();
		}

		// Empty lines do not begin a request, so that they neither start its time nor prolong an idle one.
		if (this.#pending.length > 0) {
			this.#hasReceived = true;
			if (wasIdle) {
				this.#enterPhase();
			}
		}

		this.feed();
	}

	/** @returns Number of skipped bytes. Too many of them end the connection. */
	#skipEmptyLines(): number {
		const bytes = this.#isReadingBody ? 0 : this.#pending.skipEmptyLines();
		if (this.#pending.emptyLineBytes > this.#context.limits.maxHeaderBytes) {
			this.#endFor('empty_lines');
		}

		return bytes;
	}

	/** Takes nothing further from the client, and closes the connection once no request is being handled. */
	#endFor(reason: string): void {
		this.#endingFor ??= reason;
		this.#pending.clear();
		this.socket.pause();
		this.#closeIfAnswered();
	}

	/** A request that is being handled may write, so that its caller gets the answer; what follows it has not begun. */
	#closeIfAnswered(): void {
		if (this.#endingFor && this.stalledMs !== undefined) {
			this.closeFor(this.#endingFor);
		}
	}

	get #isReadingBody(): boolean {
		return this.#last?.complete === false;
	}

	get #isHeadIncomplete(): boolean {
		return !this.#isReadingBody && !this.#hasEnded && this.#pending.length < this.#context.limits.maxHeaderBytes && this.#pending.headBytes === -1;
	}

	/** The body of the last request is read beside those in progress, unless nobody takes it yet. */
	#feedableBytes(): number {
		const pending = this.#pending;
		if (pending.length === 0 || !this.#isReadWanted) {
			return 0;
		}

		if (this.#last?.complete === false) {
			return this.#last.readableLength < BODY_SLICE_BYTES ? Math.min(pending.length, bodySliceBytes(this.#bodyBytesLeft)) : 0;
		}

		if (this.#requests.size >= this.#context.limits.requestsPerConnection || this.#requestsInTurn >= REQUESTS_PER_TURN || this.#isHeadIncomplete) {
			return 0;
		}

		const {headBytes} = pending;
		if ((headBytes === -1 ? pending.length : headBytes) > this.#context.limits.maxHeaderBytes) {
			if (this.#requests.size === 0) {
				this.socket.write(HEAD_TOO_LARGE);
			}

			this.#endFor('head_bytes');
			return 0;
		}

		return headBytes === -1 ? pending.length : headBytes;
	}

	#feedSlice(length: number): void {
		let part: InputPart = 'head';
		if (this.#isReadingBody) {
			part = this.#bodyBytesLeft === undefined ? 'chunkedBody' : 'sizedBody';
			this.#bodyBytesLeft = this.#bodyBytesLeft === undefined ? undefined : this.#bodyBytesLeft - length;
		}

		this.#isReadWanted = this.push(this.#pending.take(length, part));
		this.#skipEmptyLines();
		if (!this.#isReadingBody && this.#pending.length >= LONG_PIPELINE_BYTES) {
			countDropped(REQUEST_BYTES);
		}
	}

	#enterPhase(): void {
		this.#phaseAtMs = this.#context.nowMs();
		this.#progressAtMs = this.#phaseAtMs;
	}

	/** @returns Whether the budget has what the connection holds now; `isAdded` counts it in any case. */
	#update(isAdded = false): boolean {
		if (this.destroyed) {
			return true;
		}

		let neededBytes = this.#pending.length + this.writableLength;
		for (const {heldBytes, response} of this.#requests.values()) {
			neededBytes += heldBytes + (response.socket ? 0 : response.writableLength);
		}

		const moreBytes = neededBytes - this.#heldBytes;
		if (moreBytes <= 0) {
			this.#context.budget.release(-moreBytes);
		} else if (isAdded) {
			this.#context.budget.add(this, moreBytes);
		} else if (!this.#context.budget.reserve(this, moreBytes)) {
			return false;
		}

		this.#heldBytes = neededBytes;
		return true;
	}
}
