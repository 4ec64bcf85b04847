import {readdir, readFile} from 'node:fs/promises';
import {parseRecordDocuments, RECORD_KINDS, type RecordDocument} from '@amaranthsail/records';

const EXAMPLES = new URL('../../../examples/', import.meta.url);

/** The divisions that have example records. */
export const DIVISIONS = ['register', 'cooperative'] as const;

/** One of {@link DIVISIONS}. */
export type Division = (typeof DIVISIONS)[number];

/**
 * Reads the example records of a division.
 *
 * @param division - The division.
 * @returns The records, each after those that it refers to.
 * @throws Error with all problems when a file is not valid.
 */
export async function readExampleRecords(division: Division): Promise<readonly RecordDocument[]> {
	const directory = new URL(`${division}/`, EXAMPLES);
	const names = await readdir(directory);
	const files = await Promise.all(names.toSorted().map(async name => {
		const parsed = parseRecordDocuments(await readFile(new URL(name, directory), 'utf8'), name);
		if (!parsed.ok) {
			throw new Error(`${name}: ${JSON.stringify(parsed.error)}`);
		}

		return parsed.value;
	}));
	return files.flat().toSorted((left, right) => RECORD_KINDS.indexOf(left.kind) - RECORD_KINDS.indexOf(right.kind));
}

/**
 * Reads an example job.
 *
 * @param name - Name of the file without its ending.
 * @returns The body of the request.
 */
export async function readExampleJob(name: string): Promise<Readonly<Record<string, unknown>>> {
	return JSON.parse(await readFile(new URL(`jobs/${name}.json`, EXAMPLES), 'utf8')) as Readonly<Record<string, unknown>>;
}
