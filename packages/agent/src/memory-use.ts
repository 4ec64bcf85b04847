import {readFileSync} from 'node:fs';
import process from 'node:process';

/** Memory of this process. */
export type MemoryUse = {
	readonly residentKb: number;
	/** Private_Clean plus Private_Dirty; undefined where `smaps_rollup` cannot be read. */
	readonly privateKb: number | undefined;
	/** Private_Dirty only; unlike `privateKb` it does not depend on whether another process maps the same Node.js binary. */
	readonly privateDirtyKb: number | undefined;
};

/**
 * Reads the memory of this process from `/proc/self/smaps_rollup`.
 *
 * @returns The memory in kilobytes; only the resident memory where that file cannot be read.
 */
export function readMemoryUse(): MemoryUse {
	try {
		const text = readFileSync('/proc/self/smaps_rollup', 'utf8');
		const privateDirtyKb = fieldOf(text, 'Private_Dirty');
		return {residentKb: fieldOf(text, 'Rss'), privateKb: fieldOf(text, 'Private_Clean') + privateDirtyKb, privateDirtyKb};
	} catch {
		return {residentKb: Math.round(process.memoryUsage.rss() / 1024), privateKb: undefined, privateDirtyKb: undefined};
	}
}

function fieldOf(text: string, name: string): number {
	return Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text)?.[1] ?? 0);
}
