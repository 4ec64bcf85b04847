import {ReceivedBytes} from './received-bytes.js';

/** Bytes of a body that are given to the parser at once. */
export const BODY_SLICE_BYTES = 16 * 1024;

/** The same for a body in chunks, after whose unknown end further requests may follow. */
export const CHUNKED_SLICE_BYTES = 1024;

/** Answer to a head over the limit, as the parser gives it; nothing of the request is looked at. */
export const HEAD_TOO_LARGE = 'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/**
 * @param bodyBytesLeft - Rest of the body; undefined for one in chunks.
 * @returns Bytes of it that the parser gets at once.
 */
export function bodySliceBytes(bodyBytesLeft: number | undefined): number {
	return bodyBytesLeft === undefined ? CHUNKED_SLICE_BYTES : Math.max(1, Math.min(BODY_SLICE_BYTES, bodyBytesLeft));
}

/** What the next bytes for the parser belong to. */
export type InputPart = 'head' | 'sizedBody' | 'chunkedBody';

/** The bytes of one connection that wait for the parser, and where its next request begins. */
export class RequestInput {
	readonly #received = new ReceivedBytes();
	/** Whether the parser has got everything up to the end of a request; unknown after chunks, which may end within a slice. */
	#isBetweenRequests = true;
	#emptyLineBytes = 0;

	/** Bytes that wait. */
	get length(): number {
		return this.#received.length;
	}

	/** Bytes of empty lines since the last request. */
	get emptyLineBytes(): number {
		return this.#emptyLineBytes;
	}

	/** Bytes up to the end of the first head, or -1. After chunks, the parser may have got the head but for its last line. */
	get headBytes(): number {
		const headBytes = this.#received.headLength();
		const emptyLineBytes = this.#isBetweenRequests ? 0 : this.#received.emptyLineLength();
		return emptyLineBytes > 0 && (headBytes === -1 || headBytes > 2 * emptyLineBytes) ? emptyLineBytes : headBytes;
	}

	/** @param chunk - Bytes that have arrived. */
	append(chunk: Uint8Array): void {
		this.#received.append(chunk);
	}

	/**
	 * Skips empty lines before a request, a few of which are legal, as the parser would do one at a time.
	 *
	 * @returns Number of skipped bytes.
	 */
	skipEmptyLines(): number {
		const bytes = this.#isBetweenRequests ? this.#received.dropEmptyLines() : 0;
		this.#emptyLineBytes += bytes;
		return bytes;
	}

	/** @returns Bytes for the parser, which are no longer held here. */
	take(length: number, part: InputPart): Uint8Array {
		const isWholeHead = part === 'head' && length === this.#received.headLength();
		if (part === 'head' && !this.#isBetweenRequests) {
			this.#emptyLineBytes += this.#received.emptyLineLength();
		}

		this.#isBetweenRequests = part === 'sizedBody' || isWholeHead || (part === 'head' && this.#isBetweenRequests);
		return this.#received.take(length);
	}

	/** Records that the parser has got the head of a request. */
	recordRequest(): void {
		this.#emptyLineBytes = 0;
	}

	/** Drops all bytes. */
	clear(): void {
		this.#received.clear();
	}
}
