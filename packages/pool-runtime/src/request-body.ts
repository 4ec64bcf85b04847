import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {StringDecoder} from 'node:string_decoder';
import {connectionOf} from './connection-of.js';
import {countJsonValues} from './json-values.js';

/** Unit in which bodies are kept: a body in small pieces needs no more memory than one in a single piece. */
const PAGE_BYTES = 16 * 1024;

/** Pages that are kept for later bodies. Buffers are freed only by a full collection of the heap, so that reuse keeps the resident memory down. */
const MAX_FREE_PAGES = 256;

/** A larger body that is not kept is read to its end before the refusal, because many clients read no answer before they have sent everything; up to this multiple of the limit. */
const MAX_DISCARDED_MULTIPLE = 4;

/** Heap of a parsed value: an empty object with its place in a list. */
const JSON_VALUE_BYTES = 64;

const freePages: Uint8Array[] = [];

/** The request was refused, and nothing of it was kept. */
export type BodyRefusal = {readonly status: 413 | 503; readonly problem: string; /** Whether the body has not been read to its end. */ readonly isUnfinished: boolean};

/** A body, a refusal, or undefined if the client has left before the end of the body. */
export type ReceivedBody = {readonly text: string} | {readonly refusal: BodyRefusal} | undefined;

/** Limits for one body. */
export type BodyLimits = {readonly maxBodyBytes: number; readonly maxJsonValues: number};

const NO_MEMORY = 'not run: this process has too many requests to read';

/**
 * Reads the body of a request, as far as the memory for all connections allows.
 *
 * @param message - The request.
 * @param limits - Limits for one body.
 * @returns The text, or why it was not kept.
 */
export async function receiveBody(message: IncomingMessage, limits: BodyLimits): Promise<ReceivedBody> {
	const connection = connectionOf(message);
	const pages: Uint8Array[] = [];
	let usedBytes = 0;
	const append = (chunk: Uint8Array): boolean => {
		let rest = chunk;
		while (rest.length > 0) {
			const start = usedBytes % PAGE_BYTES;
			if (start === 0) {
				if (connection && !connection.reserve(message, PAGE_BYTES)) {
					return false;
				}

				pages.push(freePages.pop() ?? Buffer.allocUnsafeSlow(PAGE_BYTES));
			}

			const length = Math.min(rest.length, PAGE_BYTES - start);
			pages.at(-1)!.set(rest.subarray(0, length), start);
			usedBytes += length;
			rest = rest.subarray(length);
		}

		return true;
	};

	const drop = (): void => {
		const count = pages.length;
		freePages.push(...pages.splice(0, Math.min(count, Math.max(0, MAX_FREE_PAGES - freePages.length))));
		pages.length = 0;
	};

	const abandon = (): void => {
		connection?.release(message, pages.length * PAGE_BYTES);
		drop();
	};

	const refusal = await readAll(message, limits.maxBodyBytes, chunk => append(chunk), abandon);
	if (refusal !== undefined) {
		abandon();
		return refusal === 'left' ? undefined : {refusal};
	}

	const used = pages.map((page, number) => page.subarray(0, Math.min(PAGE_BYTES, usedBytes - (number * PAGE_BYTES))));
	const values = countJsonValues(used);
	if (values > limits.maxJsonValues) {
		connection?.reportRefusal('json_values');
		abandon();
		return {refusal: {status: 413, problem: `not run: the body has more than ${limits.maxJsonValues} values`, isUnfinished: false}};
	}

	if (connection && !connection.reserve(message, values * JSON_VALUE_BYTES)) {
		connection.reportRefusal('memory');
		abandon();
		return {refusal: {status: 503, problem: NO_MEMORY, isUnfinished: false}};
	}

	const decoder = new StringDecoder('utf8');
	const text = used.map(part => decoder.write(part)).join('') + decoder.end();
	drop();
	return {text};
}

/**
 * Reads a request whose body is not needed, without keeping anything of it.
 *
 * @param message - The request.
 * @param maxBodyBytes - Largest body.
 * @returns Why the request is refused; undefined if it may be answered.
 */
export async function discardBody(message: IncomingMessage, maxBodyBytes: number): Promise<BodyRefusal | 'left' | undefined> {
	return readAll(message, maxBodyBytes, () => true, () => undefined);
}

/** Reads a message to its end; `take` returns false if a chunk cannot be kept, after which the rest is discarded. */
async function readAll(message: IncomingMessage, maxBodyBytes: number, take: (chunk: Uint8Array) => boolean, abandon: () => void): Promise<BodyRefusal | 'left' | undefined> {
	const connection = connectionOf(message);
	if (message.destroyed) {
		return 'left';
	}

	if (connection?.isRefused(message)) {
		connection.reportRefusal('memory');
		return {status: 503, problem: NO_MEMORY, isUnfinished: true};
	}

	return new Promise(resolve => {
		let bytes = 0;
		let refusal: Omit<BodyRefusal, 'isUnfinished'> | undefined;
		const refuse = (status: 413 | 503, problem: string): void => {
			if (!refusal) {
				refusal = {status, problem};
				connection?.reportRefusal(status === 413 ? 'body_bytes' : 'memory');
				abandon();
			}
		};

		message.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > maxBodyBytes * MAX_DISCARDED_MULTIPLE) {
				resolve({status: 413, problem: `not run: the body is larger than ${maxBodyBytes} bytes`, isUnfinished: true});
			} else if (bytes > maxBodyBytes) {
				refuse(413, `not run: the body is larger than ${maxBodyBytes} bytes`);
			} else if (!refusal && !take(chunk)) {
				refuse(503, NO_MEMORY);
			}
		});
		message.on('end', () => {
			resolve(refusal && {...refusal, isUnfinished: false});
		});
		message.on('error', () => {
			resolve('left');
		});
		message.on('close', () => {
			resolve('left');
		});
		// The parser gets nothing further while nobody takes the body.
		process.nextTick(() => {
			connection?.feed();
		});
	});
}
