import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {readProcessUse, type ProcessUse} from '@amaranthsail/agent/process-use.js';

/** What a process used over an interval. */
export type IntervalUse = {
	/** Processor time as a percentage of one core. */
	readonly processorPercent: number;
	readonly processorMs: number;
	/** At the end of the interval. */
	readonly residentMb: number;
	/** Private_Clean plus Private_Dirty at the end of the interval. */
	readonly privateMb: number;
};

type Reading = {readonly use: ProcessUse; readonly atMs: number};

function read(pid: number): Reading {
	return {use: readProcessUse(pid, process.execPath), atMs: performance.now()};
}

/** Measures what named processes use between two points in time. */
export class ProcessMeter {
	readonly #pids: ReadonlyMap<string, number>;
	readonly #before: ReadonlyMap<string, Reading>;

	/**
	 * Starts the interval.
	 *
	 * @param pids - Process ids by name.
	 * @throws The error of the file system when a process is gone.
	 */
	constructor(pids: ReadonlyMap<string, number>) {
		this.#pids = pids;
		this.#before = new Map([...pids].map(([name, pid]) => [name, read(pid)]));
	}

	/**
	 * Ends the interval.
	 *
	 * @returns The use of each process by name.
	 * @throws The error of the file system when a process is gone.
	 */
	end(): Readonly<Record<string, IntervalUse>> {
		return Object.fromEntries([...this.#pids].map(([name, pid]) => {
			const before = this.#before.get(name)!;
			const {use, atMs} = read(pid);
			const processorMs = use.processorMs - before.use.processorMs;
			return [name, {
				processorMs,
				processorPercent: 100 * processorMs / (atMs - before.atMs),
				residentMb: use.residentMb,
				privateMb: use.privateMb,
			}];
		}));
	}
}
