import {readFileSync} from 'node:fs';

/** Ticks per second of the times in `/proc/PID/stat`; fixed by the kernel's interface. */
const TICKS_PER_SECOND = 100;

/** What a process uses, as the kernel counts it. */
export type ProcessUse = {
	readonly residentMb: number;
	/** Private_Clean plus Private_Dirty of `smaps_rollup`. */
	readonly privateMb: number;
	/** Private_Dirty of `smaps_rollup`. */
	readonly privateDirtyMb: number;
	/** Private memory plus the shared pages of the Node.js binary, which count as private when no other process runs it. */
	readonly privateAloneMb: number;
	/** User and system time since the start of the process. */
	readonly processorMs: number;
};

/**
 * Reads what a process uses.
 *
 * @param pid - The process.
 * @param binaryPath - Path of the Node.js binary.
 * @returns Memory now and processor time so far.
 * @throws The error of the file system when the process is gone.
 */
export function readProcessUse(pid: number, binaryPath: string): ProcessUse {
	const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
	const privateDirtyMb = megabytesOf(rollup, 'Private_Dirty');
	const privateMb = privateDirtyMb + megabytesOf(rollup, 'Private_Clean');
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /sv, '').split(' ');
	return {
		residentMb: megabytesOf(rollup, 'Rss'),
		privateMb,
		privateDirtyMb,
		privateAloneMb: privateMb + sharedBinaryMb(readFileSync(`/proc/${pid}/smaps`, 'utf8'), binaryPath),
		// Fields 14 and 15 of proc(5), counted from the state that follows the name.
		processorMs: (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND,
	};
}

function sharedBinaryMb(smaps: string, binaryPath: string): number {
	let sharedMb = 0;
	for (const mapping of smaps.split(/^(?=[\da-f]+-[\da-f]+ )/mv)) {
		const [head = ''] = mapping.split('\n', 1);
		if (head.endsWith(` ${binaryPath}`)) {
			sharedMb += megabytesOf(mapping, 'Shared_Clean') + megabytesOf(mapping, 'Shared_Dirty');
		}
	}

	return sharedMb;
}

function megabytesOf(text: string, name: string): number {
	return Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text)?.[1] ?? 0) / 1024;
}
