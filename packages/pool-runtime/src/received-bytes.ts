import {Buffer} from 'node:buffer';

const CARRIAGE_RETURN = 13;

const LINE_FEED = 10;

/** Smallest buffer for pieces that are put together. */
const MIN_CAPACITY_BYTES = 1024;

/** Room for further pieces beside those that have arrived; a head is hardly longer. */
const MAX_SPARE_BYTES = 16 * 1024;

/**
 * Bytes that have arrived and that the parser has not got yet. Each byte is copied a bounded number of times, however small
 * the pieces are in which they arrive, and searched once for the end of a head.
 */
export class ReceivedBytes {
	#buffer = Buffer.alloc(0);
	#start = 0;
	#end = 0;
	/** Whether the buffer was made here, so that it may be written to. */
	#isOwned = false;
	/** Up to here, no line feed ends a head. */
	#searchedTo = 0;

	get length(): number {
		return this.#end - this.#start;
	}

	/** @param chunk - Bytes that have arrived now. */
	append(chunk: Uint8Array): void {
		if (this.length === 0) {
			this.#buffer = Buffer.from(chunk.buffer as ArrayBuffer, chunk.byteOffset, chunk.byteLength);
			this.#start = 0;
			this.#end = chunk.length;
			this.#searchedTo = 0;
			this.#isOwned = false;
			return;
		}

		if (!this.#isOwned || this.#end + chunk.length > this.#buffer.length) {
			const neededBytes = this.length + chunk.length;
			const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, neededBytes + Math.min(neededBytes, MAX_SPARE_BYTES)));
			this.#buffer.copy(grown, 0, this.#start, this.#end);
			this.#searchedTo -= this.#start;
			this.#end = this.length;
			this.#start = 0;
			this.#buffer = grown;
			this.#isOwned = true;
		}

		this.#buffer.set(chunk, this.#end);
		this.#end += chunk.length;
	}

	/** @returns Number of the bytes up to the empty line that ends the first head, or -1. */
	headLength(): number {
		while (this.#searchedTo < this.#end) {
			const offset = this.#buffer.subarray(this.#searchedTo, this.#end).indexOf(LINE_FEED);
			if (offset === -1) {
				this.#searchedTo = this.#end;
				return -1;
			}

			const lineFeed = this.#searchedTo + offset;
			const next = lineFeed + 1 < this.#end && this.#buffer[lineFeed + 1] === CARRIAGE_RETURN ? lineFeed + 2 : lineFeed + 1;
			if (next >= this.#end) {
				// Whether the line after this one is empty is not known yet.
				this.#searchedTo = lineFeed;
				return -1;
			}

			if (this.#buffer[next] === LINE_FEED) {
				this.#searchedTo = lineFeed;
				return next + 1 - this.#start;
			}

			this.#searchedTo = lineFeed + 1;
		}

		return -1;
	}

	/** @returns Number of the bytes of an empty line at the start, or 0. */
	emptyLineLength(): number {
		const first = this.#buffer[this.#start];
		const length = first === CARRIAGE_RETURN ? 2 : 1;
		return this.length >= length && this.#buffer[this.#start + length - 1] === LINE_FEED ? length : 0;
	}

	/**
	 * Drops empty lines at the start, which the parser would skip too.
	 *
	 * @returns Number of dropped bytes.
	 */
	dropEmptyLines(): number {
		const start = this.#start;
		while (this.#start < this.#end && (this.#buffer[this.#start] === LINE_FEED || this.#buffer[this.#start] === CARRIAGE_RETURN)) {
			this.#start++;
		}

		this.#searchedTo = Math.max(this.#searchedTo, this.#start);
		return this.#start - start;
	}

	/** @returns The first bytes, which are no longer held here. */
	take(length: number): Uint8Array {
		const taken = this.#buffer.subarray(this.#start, this.#start + length);
		this.#start += length;
		this.#searchedTo = Math.max(this.#searchedTo, this.#start);
		if (this.length === 0) {
			this.clear();
		}

		return taken;
	}

	/** Drops all bytes. */
	clear(): void {
		this.#buffer = Buffer.alloc(0);
		this.#start = 0;
		this.#end = 0;
		this.#searchedTo = 0;
		this.#isOwned = false;
	}
}
