import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {readProcessUse, type ProcessUse} from '@amaranthsail/agent/process-use.js';

/** Resource use of a process over an interval. */
export type IntervalUse = {
	/** Processor time as a percentage of one core. */
	readonly processorPercent: number;
	readonly processorMs: number;
	/** Resident memory at the end of the interval. */
	readonly residentMb: number;
	/** Private memory at the end of the interval: Private_Clean plus Private_Dirty. */
	readonly privateMb: number;
};

type TimedUse = {readonly use: ProcessUse; readonly atMs: number};

function readTimedUse(pid: number): TimedUse {
	return {use: readProcessUse(pid, process.execPath), atMs: performance.now()};
}

/** Measures the resource use of named processes between two points in time. */
export class ProcessMeter {
	readonly #pids: ReadonlyMap<string, number>;
	readonly #before: ReadonlyMap<string, TimedUse>;

	/**
	 * Starts the interval.
	 *
	 * @param pids - Process ids by name.
	 * @throws The file system error when a process does not exist.
	 */
	constructor(pids: ReadonlyMap<string, number>) {
		this.#pids = pids;
		this.#before = new Map([...pids].map(([name, pid]) => [name, readTimedUse(pid)]));
	}

	/**
	 * Ends the interval.
	 *
	 * @returns The resource use of each process by name.
	 * @throws The file system error when a process does not exist.
	 */
	end(): Readonly<Record<string, IntervalUse>> {
		return Object.fromEntries([...this.#pids].map(([name, pid]) => {
			const before = this.#before.get(name)!;
			const {use, atMs} = readTimedUse(pid);
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
