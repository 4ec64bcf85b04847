import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parseAddress, type Address} from '@amaranthsail/core';

/** Longest wait for the log line that says that a process is ready. */
const READY_TIMEOUT_MS = 20_000;

/** Log lines that are kept for the report of a failure. */
const KEPT_LINES = 200;

/** What to start. */
export type ProcessSpec = {
	/** Name for messages. */
	readonly name: string;
	/** Module of the program, for example `@amaranthsail/entry/bin.js`. */
	readonly module: string;
	readonly nodeFlags?: readonly string[];
	/** Settings as environment variables. */
	readonly environment: Readonly<Record<string, string>>;
};

/** A line of a structured log. */
export type LogLine = Readonly<Record<string, unknown>> & {readonly message?: string};

/** One program of the system as a child process. */
export class ManagedProcess {
	readonly spec: ProcessSpec;
	readonly lines: LogLine[] = [];
	#child: ChildProcess | undefined;
	#exited: Promise<number> = Promise.resolve(0);
	#address: Address | undefined;

	/**
	 * @param spec - What to start.
	 */
	constructor(spec: ProcessSpec) {
		this.spec = spec;
	}

	/** The address in the log line that says that the process is ready. */
	get address(): Address {
		if (!this.#address) {
			throw new Error(`${this.spec.name} is not ready`);
		}

		return this.#address;
	}

	/** Id of the process. */
	get pid(): number {
		return this.#child?.pid ?? 0;
	}

	/** Whether the process has said that it is ready. */
	get isReady(): boolean {
		return this.#address !== undefined;
	}

	/** Whether the process has not ended. */
	get isRunning(): boolean {
		return this.#child?.exitCode === null && this.#child.signalCode === null;
	}

	/**
	 * Starts the process and waits until it is ready.
	 *
	 * @returns Its address.
	 * @throws Error with the last log lines when it ends or is not ready in time.
	 */
	async start(): Promise<Address> {
		const {name, module, nodeFlags = [], environment} = this.spec;
		const child = spawn(process.execPath, [...nodeFlags, fileURLToPath(import.meta.resolve(module))], {
			env: {PATH: process.env.PATH, ...environment},
			stdio: ['ignore', 'ignore', 'pipe'],
		});
		this.#child = child;
		this.#exited = new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? -1);
			});
		});
		const ready = new Promise<Address>((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`${name} was not ready after ${READY_TIMEOUT_MS} ms:\n${this.lastLines()}`));
			}, READY_TIMEOUT_MS);
			createInterface({input: child.stderr}).on('line', line => {
				const parsed = parseLine(line);
				this.lines.push(parsed);
				this.lines.splice(0, Math.max(0, this.lines.length - KEPT_LINES));
				const address = parsed.message === 'ready' ? parseAddress(String(parsed.address)) : undefined;
				if (address) {
					clearTimeout(timer);
					resolve(address);
				}
			});
			void this.#exited.then(code => {
				clearTimeout(timer);
				reject(new Error(`${name} ended with exit code ${code}:\n${this.lastLines()}`));
			});
		});
		this.#address = await ready;
		return this.#address;
	}

	/**
	 * Sends a signal.
	 *
	 * @param signal - For example `SIGKILL`, `SIGSTOP` or `SIGCONT`.
	 */
	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/**
	 * Ends the process.
	 *
	 * @param signal - The first signal; `SIGKILL` follows when the process is still there after the timeout.
	 * @param timeoutMs - Longest wait for its end.
	 * @returns The exit code; -1 when a signal ended it.
	 */
	async stop(signal: NodeJS.Signals = 'SIGTERM', timeoutMs = 10_000): Promise<number> {
		if (!this.isRunning) {
			return this.#exited;
		}

		this.signal(signal);
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMs);
		const code = await this.#exited;
		clearTimeout(timer);
		return code;
	}

	/** Waits until the process has ended by itself. */
	async exited(): Promise<number> {
		return this.#exited;
	}

	/**
	 * Formats the last log lines.
	 *
	 * @param count - Number of lines.
	 * @returns One line of JSON each.
	 */
	lastLines(count = 10): string {
		return this.lines.slice(-count).map(line => JSON.stringify(line)).join('\n');
	}
}

function parseLine(line: string): LogLine {
	try {
		return JSON.parse(line) as LogLine;
	} catch {
		return {message: line};
	}
}
