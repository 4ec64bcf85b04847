import process from 'node:process';
import type {LogFields, Logger, LogLevel} from '@amaranthsail/core';

/** Largest number of lines per second with the same message and level; a load peak makes far fewer decisions of one kind. */
const MAX_LINES_PER_S = 200;

/** Bytes that may be buffered for a slow reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Destination of log lines. */
export interface LogSink {
	/** Bytes that the reader has not read yet. */
	readonly bufferedBytes: number;
	/** @param line - A line with its line feed. Must not block. */
	write(line: string): void;
}

/** Standard output; Node.js buffers what a slow pipe does not accept. */
export class StandardOutputSink implements LogSink {
	constructor() {
		// The process must survive a reader that closes the pipe.
		process.stdout.on('error', () => undefined);
	}

	get bufferedBytes(): number {
		return process.stdout.writableLength;
	}

	write(line: string): void {
		process.stdout.write(line);
	}
}

type RateWindow = {second: number; lines: number; droppedLines: number};

/**
 * Writes one JSON object per line. Limits the lines per message and second, and never waits for the reader; the field
 * `leftOut` counts the lines that were dropped before.
 */
export class ProcessLog implements Logger {
	readonly #component: string;
	readonly #node: string;
	readonly #sink: LogSink;
	readonly #windows = new Map<string, RateWindow>();
	#droppedForSlowReader = 0;

	/**
	 * @param component - Name of the program.
	 * @param node - Name of the VM.
	 * @param sink - Destination of the lines.
	 */
	constructor(component: string, node: string, sink: LogSink = new StandardOutputSink()) {
		this.#component = component;
		this.#node = node;
		this.#sink = sink;
	}

	debug(message: string, fields?: LogFields): void {
		this.#write('debug', message, fields);
	}

	info(message: string, fields?: LogFields): void {
		this.#write('info', message, fields);
	}

	warn(message: string, fields?: LogFields): void {
		this.#write('warn', message, fields);
	}

	error(message: string, fields?: LogFields): void {
		this.#write('error', message, fields);
	}

	#write(level: LogLevel, message: string, fields: LogFields | undefined): void {
		const now = new Date();
		const window = this.#windowOf(`${level} ${message}`, Math.floor(now.getTime() / 1000));
		if (window.lines >= MAX_LINES_PER_S) {
			window.droppedLines++;
			return;
		}

		if (this.#sink.bufferedBytes > MAX_BUFFERED_BYTES) {
			this.#droppedForSlowReader++;
			return;
		}

		window.lines++;
		const leftOut = window.droppedLines + this.#droppedForSlowReader;
		window.droppedLines = 0;
		this.#droppedForSlowReader = 0;
		this.#sink.write(`${JSON.stringify({
			time: now.toISOString(), level, component: this.#component, node: this.#node, message, ...fields, ...(leftOut > 0 && {leftOut}),
		})}\n`);
	}

	#windowOf(kind: string, second: number): RateWindow {
		let window = this.#windows.get(kind);
		if (!window) {
			window = {second, lines: 0, droppedLines: 0};
			this.#windows.set(kind, window);
		}

		if (window.second !== second) {
			window.second = second;
			window.lines = 0;
		}

		return window;
	}
}
