import {err, ok, type Result} from '@amaranthsail/core';
import {parseAllDocuments, type Document} from 'yaml';
import type {RecordDocument} from './record-document.js';
import type {RecordProblem} from './record-problem.js';
import {validateRecord} from './validate-record.js';

/** Problems of one document of a file. */
export type DocumentProblems = {
	/** Name of the file, or another description of the source. */
	readonly source: string;
	/** Position in the file, from 1. */
	readonly document: number;
	readonly problems: readonly RecordProblem[];
};

/** Limit of YAML alias resolutions in one document, against exponential expansion. */
const MAX_ALIAS_COUNT = 100;

/**
 * Parses a file of records: YAML or JSON, with one or more documents. The elements of a list count as separate documents.
 *
 * @param text - The content.
 * @param source - The file name, for messages.
 * @returns The documents in order, or the problems of every invalid document.
 */
export function parseRecordDocuments(text: string, source: string): Result<readonly RecordDocument[], readonly DocumentProblems[]> {
	const invalidDocuments: DocumentProblems[] = [];
	const documents: RecordDocument[] = [];
	let position = 0;
	for (const parsed of parseAllDocuments(text)) {
		const decoded = decode(parsed);
		if (!decoded.ok) {
			position++;
			invalidDocuments.push({source, document: position, problems: decoded.error});
			continue;
		}

		// A trailing separator, or a file with only comments, yields an empty document.
		const values = decoded.value === null ? [] : [decoded.value].flat();
		for (const document of values) {
			position++;
			const record = validateRecord(document);
			if (record.ok) {
				documents.push(record.value);
			} else {
				invalidDocuments.push({source, document: position, problems: record.error});
			}
		}
	}

	return invalidDocuments.length > 0 ? err(invalidDocuments) : ok(documents);
}

function decode(document: Document.Parsed): Result<unknown, readonly RecordProblem[]> {
	const problemOf = (message: string): RecordProblem => ({path: '', expectation: `expected YAML or JSON: ${message}`});
	if (document.errors.length > 0) {
		return err(document.errors.map(({message}) => problemOf(message)));
	}

	try {
		return ok(document.toJS({maxAliasCount: MAX_ALIAS_COUNT}));
	} catch (error) {
		return err([problemOf(error instanceof Error ? error.message : String(error))]);
	}
}
