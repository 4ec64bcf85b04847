import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from '@amaranthsail/core';
import {formatProblems, parseRecordDocuments, RECORD_KINDS, isRecordKind, type RecordDocument, type RecordId} from '@amaranthsail/records';

/**
 * Reads and validates record files.
 *
 * @param files - Paths of the files.
 * @returns The documents, referenced ones first, or a message with every problem of every file.
 */
export async function readRecords(files: readonly string[]): Promise<Result<readonly RecordDocument[], string>> {
	const documents: RecordDocument[] = [];
	const errors: string[] = [];
	for (const file of files) {
		const text = await readText(file);
		if (!text.ok) {
			errors.push(text.error);
			continue;
		}

		const parsed = parseRecordDocuments(text.value, file);
		if (parsed.ok) {
			documents.push(...parsed.value);
		} else {
			errors.push(...parsed.error.map(({source, document, problems}) => `${source}, document ${document}:\n${formatProblems(problems)}`));
		}
	}

	if (errors.length > 0) {
		return err(errors.join('\n'));
	}

	return ok(documents.toSorted((left, right) => RECORD_KINDS.indexOf(left.kind) - RECORD_KINDS.indexOf(right.kind)));
}

/**
 * Reads a text file.
 *
 * @param file - The path.
 * @returns The text, or an error message.
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
 * @returns The id of the record; undefined if the text is not one.
 */
export function parseRecordId(text: string): RecordId | undefined {
	const [kind, name, ...rest] = text.split('/');
	return isRecordKind(kind) && name && rest.length === 0 ? {kind, name} : undefined;
}

/**
 * Parses the `KIND/NAME:FIELD` values of `--take-ownership`.
 *
 * @param texts - The flag values.
 * @returns Fields by `KIND/NAME`, or an error message for the first invalid value.
 */
export function parseOwnershipFlags(texts: readonly string[]): Result<ReadonlyMap<string, readonly string[]>, string> {
	const fieldsByRecord = new Map<string, readonly string[]>();
	for (const text of texts) {
		const [record, field, ...rest] = text.split(':');
		if (!parseRecordId(record!) || !field || rest.length > 0) {
			return err(`${JSON.stringify(text)} is not valid; expected KIND/NAME:FIELD`);
		}

		fieldsByRecord.set(record!, [...fieldsByRecord.get(record!) ?? [], field]);
	}

	return ok(fieldsByRecord);
}
