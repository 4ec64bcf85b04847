import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parseAddress, type Address} from '@amaranthsail/core';

/** Longest wait for the log line `ready` of a process. */
const READY_TIMEOUT_MS = 20_000;

/** Number of log lines that are kept for failure reports. */
const MAX_LOG_LINES = 200;

/** A program to start. */
export type ProcessSpec = {
	/** Name in messages. */
	readonly name: string;
	/** Module of the program, for example `@amaranthsail/entry/bin.js`. */
	readonly module: string;
	readonly nodeFlags?: readonly string[];
	/** Settings as environment variables. */
	readonly environment: Readonly<Record<string, string>>;
};

/** A line of a structured log. */
export type LogLine = Readonly<Record<string, unknown>> & {readonly message?: string};

/** A program of the system, run as a child process. */
export class ManagedProcess {
	readonly spec: ProcessSpec;
	readonly logLines: LogLine[] = [];
	#child: ChildProcess | undefined;
	#exitCodePromise: Promise<number> = Promise.resolve(0);
	#address: Address | undefined;

	/**
	 * @param spec - The program.
	 */
	constructor(spec: ProcessSpec) {
		this.spec = spec;
	}

	/** The address in the log line `ready` of the process. */
	get address(): Address {
		if (!this.#address) {
			throw new Error(`${this.spec.name} is not ready`);
		}

		return this.#address;
	}

	/** Id of the process; 0 before the start. */
	get pid(): number {
		return this.#child?.pid ?? 0;
	}

	/** Whether the process has logged `ready`. */
	get isReady(): boolean {
		return this.#address !== undefined;
	}

	/** Whether the process has been started and has not ended. */
	get isRunning(): boolean {
		return this.#child?.exitCode === null && this.#child.signalCode === null;
	}

	/**
	 * Starts the process and waits until it is ready.
	 *
	 * @returns The address of the process.
	 * @throws Error with the last log lines when the process ends or is not ready in time.
	 */
	async start(): Promise<Address> {
		const {name, module, nodeFlags = [], environment} = this.spec;
		const child = spawn(process.execPath, [...nodeFlags, fileURLToPath(import.meta.resolve(module))], {
			env: {PATH: process.env.PATH, ...environment},
			stdio: ['ignore', 'ignore', 'pipe'],
		});
		this.#child = child;
		this.#exitCodePromise = new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? -1);
			});
		});
		const ready = new Promise<Address>((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`${name} was not ready after ${READY_TIMEOUT_MS} ms:\n${this.formatLastLogLines()}`));
			}, READY_TIMEOUT_MS);
			createInterface({input: child.stderr}).on('line', line => {
				const parsed = parseLogLine(line);
				this.logLines.push(parsed);
				this.logLines.splice(0, Math.max(0, this.logLines.length - MAX_LOG_LINES));
				const address = parsed.message === 'ready' ? parseAddress(String(parsed.address)) : undefined;
				if (address) {
					clearTimeout(timer);
					resolve(address);
				}
			});
			void this.#exitCodePromise.then(code => {
				clearTimeout(timer);
				reject(new Error(`${name} ended with exit code ${code}:\n${this.formatLastLogLines()}`));
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
	 * Stops the process.
	 *
	 * @param signal - The first signal; `SIGKILL` follows when the process has not ended after the timeout.
	 * @param timeoutMs - Time from the first signal to `SIGKILL`.
	 * @returns The exit code; -1 when a signal ended it.
	 */
	async stop(signal: NodeJS.Signals = 'SIGTERM', timeoutMs = 10_000): Promise<number> {
		if (!this.isRunning) {
			return this.#exitCodePromise;
		}

		this.signal(signal);
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMs);
		const code = await this.#exitCodePromise;
		clearTimeout(timer);
		return code;
	}

	/** Waits until the process has ended; returns the exit code, or -1 when a signal ended it. */
	async waitForExit(): Promise<number> {
		return this.#exitCodePromise;
	}

	/**
	 * Formats the last log lines.
	 *
	 * @param count - Number of lines.
	 * @returns The lines, as one JSON object each.
	 */
	formatLastLogLines(count = 10): string {
		return this.logLines.slice(-count).map(line => JSON.stringify(line)).join('\n');
	}
}

function parseLogLine(line: string): LogLine {
	try {
		return JSON.parse(line) as LogLine;
	} catch {
		return {message: line};
	}
}
