import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {BudgetHolder} from './byte-budget.js';
import {type ConnectionContext, HEADER_TEXT_BYTES, REQUEST_BYTES} from './connection-context.js';
import {headLengthOf} from './head-length.js';
import {countDropped, countReceived} from './receive-buffers.js';

/** Bytes of a body that are given to the parser at once. */
const BODY_SLICE_BYTES = 16 * 1024;

/** The same for a body in chunks, after whose unknown end further requests may follow. */
const CHUNKED_SLICE_BYTES = 1024;

/** Fewer bytes are no progress, so that single bytes do not keep a connection that holds much. */
const PROGRESS_BYTES = 4096;

/** Requests that one connection begins in a turn of the event loop, so that others are served between those of a long pipeline. */
const REQUESTS_PER_TURN = 1;

/** Bytes of further requests behind one; clients within the limits send a few at once. Many requests at once outlive the young generation. */
const LONG_PIPELINE_BYTES = 4096;

/** Longest wait for the first byte; longer than a legal idle time. */
const FIRST_BYTE_TIMEOUT_MS = 20_000;

type OpenRequest = {readonly message: IncomingMessage; readonly response: ServerResponse; heldBytes: number; isRefused: boolean};

/**
 * A connection between socket and parser. Counts what it holds in the budget of its listener. Gives the parser whole heads
 * only, because a parsed field of a few bytes needs ten times its length, and none while enough requests are in progress.
 */
export class BoundedConnection extends Duplex implements BudgetHolder {
	readonly #socket: Socket;
	readonly #context: ConnectionContext;
	readonly #requests = new Map<IncomingMessage, OpenRequest>();
	#heldBytes = 0;
	#pending: Uint8Array | undefined;
	#isReadWanted = false;
	#isFeeding = false;
	#hasEnded = false;
	/** Whether the connection is closed after the requests that are being handled. */
	#isEnding = false;
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
		super({decodeStrings: false, readableHighWaterMark: CHUNKED_SLICE_BYTES});
		this.#socket = socket;
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
		return this.#requests.size === 0 && !this.#pending && !this.#isReadingBody
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
		if (this.#isFeeding || this.#isEnding || this.destroyed) {
			return;
		}

		this.#isFeeding = true;
		let length = this.#feedableBytes();
		while (this.#pending && length > 0) {
			this.#feedSlice(this.#pending, length);
			length = this.#feedableBytes();
		}

		this.#isFeeding = false;
		if (this.destroyed) {
			return;
		}

		const isHeadIncomplete = this.#pending !== undefined && this.#isHeadIncomplete(this.#pending);
		if (this.#pending && !isHeadIncomplete) {
			this.#socket.pause();
		} else if (this.#hasEnded) {
			this.push(null);
		} else if (this.#socket.isPaused()) {
			this.#socket.resume();
		}

		if (!this.#update()) {
			this.#isEnding = true;
			this.#pending = undefined;
			this.#socket.pause();
			this.#closeIfAnswered();
		}
	}

	/** Closes the connection if it has exceeded a time limit. Called regularly. */
	check(): void {
		this.#closeIfAnswered();
		this.feed();
		const {limits, nowMs} = this.#context;
		const {writableLength} = this.#socket;
		const sentBytes = this.#socket.bytesWritten - writableLength;
		if (writableLength > 0 && sentBytes - this.#sentBytes >= PROGRESS_BYTES) {
			this.#sentBytes = sentBytes;
			this.#progressAtMs = nowMs();
		}

		this.#update(true);
		const phaseMs = nowMs() - this.#phaseAtMs;
		const {idleMs, stalledMs} = this;
		if (idleMs !== undefined) {
			if (idleMs >= (this.#hasReceived ? limits.idleTimeoutMs : Math.min(limits.idleTimeoutMs, FIRST_BYTE_TIMEOUT_MS))) {
				this.closeFor('idle');
			}
		} else if (this.#isReadingBody) {
			if (phaseMs >= limits.requestTimeoutMs) {
				this.closeFor('slow_body');
			}
		} else if (this.#requests.size === 0) {
			if (phaseMs >= limits.headerTimeoutMs) {
				this.closeFor('slow_head');
			}
		} else if (stalledMs !== undefined && stalledMs >= limits.answerTimeoutMs) {
			this.closeFor('slow_reader');
		}
	}

	/** Ends the connection after everything that was written; `http.Server` calls it after the last answer. */
	destroySoon(): void {
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.destroy();
		} else {
			this.once('finish', () => {
				this.destroy();
			});
		}
	}

	override _read(): void {
		this.#isReadWanted = true;
		this.feed();
	}

	override _write(chunk: string | Uint8Array, encoding: BufferEncoding, callback: (error?: Error) => void): void {
		this.#socket.write(chunk, encoding, error => {
			callback(error ?? undefined);
		});
	}

	override _writev(chunks: ReadonlyArray<{chunk: string | Uint8Array; encoding: BufferEncoding}>, callback: (error?: Error) => void): void {
		this.#socket.cork();
		for (const {chunk, encoding} of chunks.slice(0, -1)) {
			this.#socket.write(chunk, encoding);
		}

		const {chunk, encoding} = chunks.at(-1)!;
		this._write(chunk, encoding, callback);

		this.#socket.uncork();
	}

	override _final(callback: (error?: Error) => void): void {
		this.#socket.end(callback);
	}

	override _destroy(error: Error, callback: (error?: Error) => void): void {
		this.#context.budget.release(this.#heldBytes);
		this.#heldBytes = 0;
		this.#pending = undefined;
		this.#requests.clear();
		this.#socket.destroy();
		callback(error);
	}

	#onData(chunk: Uint8Array): void {
		this.#hasReceived = true;
		countReceived(chunk.length);
		if (this.#isEnding) {
			return;
		}

		this.#unreportedBytes += chunk.length;
		if (this.#unreportedBytes >= PROGRESS_BYTES) {
			this.#unreportedBytes = 0;
			this.#progressAtMs = this.#context.nowMs();
		}

		if (this.idleMs !== undefined) {
			this.#enterPhase();
		}

		this.#pending = this.#pending ? Buffer.concat([this.#pending, chunk]) : chunk;
		this.feed();
	}

	/** A request that is being handled may write, so that its caller gets the answer; what follows it has not begun. */
	#closeIfAnswered(): void {
		if (this.#isEnding && this.stalledMs !== undefined) {
			this.closeFor('budget');
		}
	}

	get #isReadingBody(): boolean {
		return this.#last?.complete === false;
	}

	#isHeadIncomplete(pending: Uint8Array): boolean {
		return !this.#isReadingBody && !this.#hasEnded && pending.length < this.#context.limits.maxHeaderBytes && headLengthOf(pending) === -1;
	}

	/** The body of the last request is read beside those in progress, unless nobody takes it yet. */
	#feedableBytes(): number {
		const pending = this.#pending;
		if (!pending || !this.#isReadWanted) {
			return 0;
		}

		if (this.#last?.complete === false) {
			const sliceBytes = this.#bodyBytesLeft === undefined ? CHUNKED_SLICE_BYTES : Math.min(BODY_SLICE_BYTES, this.#bodyBytesLeft);
			return this.#last.readableLength < BODY_SLICE_BYTES ? Math.min(pending.length, Math.max(1, sliceBytes)) : 0;
		}

		if (this.#requests.size >= this.#context.limits.requestsPerConnection || this.#requestsInTurn >= REQUESTS_PER_TURN || this.#isHeadIncomplete(pending)) {
			return 0;
		}

		const headLength = headLengthOf(pending);
		return headLength === -1 ? pending.length : headLength;
	}

	#feedSlice(pending: Uint8Array, length: number): void {
		this.#pending = length === pending.length ? undefined : pending.subarray(length);
		if (this.#isReadingBody && this.#bodyBytesLeft !== undefined) {
			this.#bodyBytesLeft -= length;
		}

		this.#isReadWanted = this.push(pending.subarray(0, length));
		if (!this.#isReadingBody && this.#pending && this.#pending.length >= LONG_PIPELINE_BYTES) {
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

		let neededBytes = (this.#pending?.length ?? 0) + this.writableLength;
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
