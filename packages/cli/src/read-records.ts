import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from '@amaranthsail/core';
import {formatProblems, parseRecordDocuments, RECORD_KINDS, isRecordKind, type RecordDocument, type RecordId} from '@amaranthsail/records';

/**
 * Reads and checks files of records.
 *
 * @param files - Paths of the files.
 * @returns The documents, those first that others refer to, or a message that names every problem of every file.
 */
export async function readRecords(files: readonly string[]): Promise<Result<readonly RecordDocument[], string>> {
	const documents: RecordDocument[] = [];
	const faults: string[] = [];
	for (const file of files) {
		const text = await readText(file);
		if (!text.ok) {
			faults.push(text.error);
			continue;
		}

		const parsed = parseRecordDocuments(text.value, file);
		if (parsed.ok) {
			documents.push(...parsed.value);
		} else {
			faults.push(...parsed.error.map(({source, document, problems}) => `${source}, document ${document}:\n${formatProblems(problems)}`));
		}
	}

	if (faults.length > 0) {
		return err(faults.join('\n'));
	}

	return ok(documents.toSorted((left, right) => RECORD_KINDS.indexOf(left.kind) - RECORD_KINDS.indexOf(right.kind)));
}

/**
 * Reads a text file.
 *
 * @param file - The path.
 * @returns The text, or a message.
 */
export async function readText(file: string): Promise<Result<string, string>> {
	try {
		return ok(await readFile(file, 'utf8'));
	} catch (error) {
		return err(`cannot read ${file}: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/**
 * Parses `KIND/NAME`.
 *
 * @param text - The argument.
 * @returns The record's id, or undefined when the text is not one.
 */
export function parseRecordId(text: string): RecordId | undefined {
	const [kind, name, ...rest] = text.split('/');
	return isRecordKind(kind) && name && rest.length === 0 ? {kind, name} : undefined;
}

/**
 * Parses `KIND/NAME:FIELD` flags.
 *
 * @param texts - The flag values.
 * @returns Fields by `kind/name`, or the first wrong value.
 */
export function parseTakenFields(texts: readonly string[]): Result<ReadonlyMap<string, readonly string[]>, string> {
	const fields = new Map<string, readonly string[]>();
	for (const text of texts) {
		const [record, field, ...rest] = text.split(':');
		if (!parseRecordId(record!) || !field || rest.length > 0) {
			return err(`${JSON.stringify(text)} is not valid; expected KIND/NAME:FIELD`);
		}

		fields.set(record!, [...fields.get(record!) ?? [], field]);
	}

	return ok(fields);
}
