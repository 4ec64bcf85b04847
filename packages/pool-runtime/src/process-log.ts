import process from 'node:process';
import type {LogFields, Logger, LogLevel} from '@amaranthsail/core';

/** Most lines of one message and level in a second; a crest makes far fewer decisions of one kind. */
const MAX_LINES_PER_S = 200;

/** Bytes that may wait for a slow reader before lines are left out. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Where log lines go. */
export interface LogSink {
	/** Bytes that the reader has not taken yet. */
	readonly waitingBytes: number;
	/** @param line - A line with its line feed; must not block. */
	write(line: string): void;
}

/** Standard output; Node.js queues what a slow pipe does not take. */
export class StandardOutputSink implements LogSink {
	constructor() {
		// A reader that is gone must not end the process.
		process.stdout.on('error', () => undefined);
	}

	get waitingBytes(): number {
		return process.stdout.writableLength;
	}

	write(line: string): void {
		process.stdout.write(line);
	}
}

type Window = {second: number; lines: number; leftOut: number};

/** Writes one JSON object a line; bounded by message and second, and never waits for the reader. */
export class ProcessLog implements Logger {
	readonly #component: string;
	readonly #node: string;
	readonly #sink: LogSink;
	readonly #windows = new Map<string, Window>();
	#leftOutForReader = 0;

	/**
	 * @param component - The program.
	 * @param node - Name of the VM.
	 * @param sink - Where lines go.
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
			window.leftOut++;
			return;
		}

		if (this.#sink.waitingBytes > MAX_WAITING_BYTES) {
			this.#leftOutForReader++;
			return;
		}

		window.lines++;
		const leftOut = window.leftOut + this.#leftOutForReader;
		window.leftOut = 0;
		this.#leftOutForReader = 0;
		this.#sink.write(`${JSON.stringify({
			time: now.toISOString(), level, component: this.#component, node: this.#node, message, ...fields, ...(leftOut > 0 && {leftOut}),
		})}\n`);
	}

	#windowOf(kind: string, second: number): Window {
		let window = this.#windows.get(kind);
		if (!window) {
			window = {second, lines: 0, leftOut: 0};
			this.#windows.set(kind, window);
		}

		if (window.second !== second) {
			window.second = second;
			window.lines = 0;
		}

		return window;
	}
}
