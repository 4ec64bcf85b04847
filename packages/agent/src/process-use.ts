import {readFileSync} from 'node:fs';

/** Clock ticks per second (USER_HZ) of the times in `/proc/PID/stat`, fixed by the kernel's interface. */
const TICKS_PER_SECOND = 100;

/** Memory and processor time of a process as counted by the kernel. */
export type ProcessUse = {
	readonly residentMb: number;
	/** Private_Clean plus Private_Dirty of `smaps_rollup`. */
	readonly privateMb: number;
	/** Private_Dirty of `smaps_rollup`. */
	readonly privateDirtyMb: number;
	/** Private memory plus the shared pages of the Node.js binary, which are private when no other process maps it. */
	readonly privateAloneMb: number;
	/** User and system time since the process started. */
	readonly processorMs: number;
};

/**
 * Reads the memory and processor time of a process.
 *
 * @param pid - Process id.
 * @param binaryPath - Path of the Node.js binary.
 * @returns The current memory and the processor time so far.
 * @throws The file system error when the process does not exist.
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
		// Fields 14 and 15 (utime, stime) in proc(5); the index counts from field 3, the state, which follows the name.
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
