import type {Socket} from 'node:net';
import {Duplex, type DuplexOptions} from 'node:stream';

/** A duplex stream that writes to a socket; what it reads is decided by its subclass. */
export abstract class SocketDuplex extends Duplex {
	/** The socket that is written to. */
	protected readonly socket: Socket;

	/**
	 * @param socket - The accepted socket.
	 * @param options - Options of the stream.
	 */
	constructor(socket: Socket, options: DuplexOptions) {
		super(options);
		this.socket = socket;
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

	override _write(chunk: string | Uint8Array, encoding: BufferEncoding, callback: (error?: Error) => void): void {
		this.socket.write(chunk, encoding, error => {
			callback(error ?? undefined);
		});
	}

	override _writev(chunks: ReadonlyArray<{chunk: string | Uint8Array; encoding: BufferEncoding}>, callback: (error?: Error) => void): void {
		this.socket.cork();
		for (const {chunk, encoding} of chunks.slice(0, -1)) {
			this.socket.write(chunk, encoding);
		}

		const {chunk, encoding} = chunks.at(-1)!;
		this._write(chunk, encoding, callback);

		this.socket.uncork();
	}

	override _final(callback: (error?: Error) => void): void {
		this.socket.end(callback);
	}
}
