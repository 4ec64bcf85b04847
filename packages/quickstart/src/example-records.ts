import {readdir, readFile} from 'node:fs/promises';
import {parseRecordDocuments, RECORD_KINDS, type RecordDocument} from '@amaranthsail/records';

const EXAMPLES_DIRECTORY = new URL('../../../examples/', import.meta.url);

/** The divisions that have example records. */
export const DIVISIONS = ['register', 'cooperative'] as const;

/** One of {@link DIVISIONS}. */
export type Division = (typeof DIVISIONS)[number];

/**
 * Reads the example records of a division.
 *
 * @param division - The division.
 * @returns The records, ordered so that each follows the records that it refers to.
 * @throws Error that lists the problems of an invalid file.
 */
export async function readExampleRecords(division: Division): Promise<readonly RecordDocument[]> {
	const directory = new URL(`${division}/`, EXAMPLES_DIRECTORY);
	const fileNames = await readdir(directory);
	const recordsByFile = await Promise.all(fileNames.toSorted().map(async fileName => {
		const parsed = parseRecordDocuments(await readFile(new URL(fileName, directory), 'utf8'), fileName);
		if (!parsed.ok) {
			throw new Error(`${fileName}: ${JSON.stringify(parsed.error)}`);
		}

		return parsed.value;
	}));
	return recordsByFile.flat().toSorted((left, right) => RECORD_KINDS.indexOf(left.kind) - RECORD_KINDS.indexOf(right.kind));
}

/**
 * Reads an example job.
 *
 * @param name - Name of the file without extension.
 * @returns The body of the job submission.
 */
export async function readExampleJob(name: string): Promise<Readonly<Record<string, unknown>>> {
	return JSON.parse(await readFile(new URL(`jobs/${name}.json`, EXAMPLES_DIRECTORY), 'utf8')) as Readonly<Record<string, unknown>>;
}
