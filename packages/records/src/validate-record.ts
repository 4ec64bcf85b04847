import {err, ok, type Result} from '@amaranthsail/core';
import type {z} from 'zod';
import {flattenSpec, unflattenSpec} from './fields.js';
import {isRecordKind, RECORD_KINDS, type JsonObject, type RecordDocument, type RecordKind, type RecordSpecs} from './record-document.js';
import type {RecordProblem} from './record-problem.js';
import {covers, newestVersionOf, schemaVersionsOf, unknownFieldsOf, versionOfField} from './schema-versions.js';
import {nameSchema} from './schemas/common.js';

const ENVELOPE_FIELDS = ['schemaVersion', 'kind', 'name', 'spec'];

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Checks one document against the schema version that it names.
 *
 * @param value - The decoded document.
 * @returns The document as written, or all problems found in it.
 */
export function validateRecord(value: unknown): Result<RecordDocument, readonly RecordProblem[]> {
	if (!isObject(value)) {
		return err([{path: '', expectation: `expected an object with ${ENVELOPE_FIELDS.join(', ')}`}]);
	}

	const problems: RecordProblem[] = Object.keys(value)
		.filter(field => !ENVELOPE_FIELDS.includes(field))
		.map(field => ({path: field, expectation: `unknown field; expected only ${ENVELOPE_FIELDS.join(', ')}`}));
	if (!nameSchema.safeParse(value.name).success) {
		problems.push({path: 'name', expectation: 'expected 1 to 63 lower-case letters, digits or dashes'});
	}

	if (!isObject(value.spec)) {
		problems.push({path: 'spec', expectation: 'expected an object'});
	}

	if (!isRecordKind(value.kind)) {
		return err([...problems, {path: 'kind', expectation: `unknown kind ${JSON.stringify(value.kind)}; expected one of ${RECORD_KINDS.join(', ')}`}]);
	}

	const {kind} = value;
	const versions = schemaVersionsOf(kind);
	const version = versions.find(({schemaVersion}) => schemaVersion === value.schemaVersion);
	if (!version) {
		const knownVersions = versions.map(({schemaVersion}) => schemaVersion).join(', ');
		return err([...problems, {
			path: 'schemaVersion',
			expectation: `unknown version ${JSON.stringify(value.schemaVersion)} of ${kind}; expected one of ${knownVersions}`,
		}]);
	}

	if (isObject(value.spec)) {
		const parsed = version.schema.safeParse(value.spec);
		problems.push(...(parsed.success ? [] : parsed.error.issues.flatMap(issue => problemsOf(kind, issue))));
	}

	return problems.length > 0 ? err(problems) : ok(value as RecordDocument);
}

/**
 * Parses a merged spec with the newest schema version and its defaults.
 * Fields that only newer programs define are left out, so that the record stays valid during a rolling update.
 *
 * @param kind - The kind.
 * @param spec - The fields that are set.
 * @returns The typed spec, or all problems found in it.
 */
export function readNewestSpec<Kind extends RecordKind>(kind: Kind, spec: JsonObject): Result<RecordSpecs[Kind], readonly RecordProblem[]> {
	const {schema} = newestVersionOf(kind);
	const unknownPaths = unknownFieldsOf(schema, spec);
	const knownSpec = unknownPaths.length === 0
		? spec
		: unflattenSpec([...flattenSpec(spec)].filter(([field]) => !unknownPaths.some(path => covers(path, field))));
	const parsed = schema.safeParse(knownSpec);
	return parsed.success
		? ok(parsed.data as RecordSpecs[Kind])
		: err(parsed.error.issues.flatMap(issue => problemsOf(kind, issue)));
}

function problemsOf(kind: RecordKind, issue: z.core.$ZodIssue): readonly RecordProblem[] {
	const path = ['spec', ...issue.path.map(String)].join('.');
	if (issue.code !== 'unrecognized_keys') {
		return [{path, expectation: expectationOf(issue)}];
	}

	return issue.keys.map(key => {
		const field = [...issue.path.map(String), key].join('.');
		const introducedIn = issue.path.length === 0 ? versionOfField(kind, field) : undefined;
		const hint = introducedIn === undefined ? '' : `; known from schemaVersion ${introducedIn}`;
		return {path: `spec.${field}`, expectation: `unknown field${hint}`};
	});
}

function expectationOf(issue: z.core.$ZodIssue): string {
	if (issue.code === 'invalid_key') {
		return issue.issues.map(({message}) => message).join('; ');
	}

	const message = issue.message.replace(/^(?:Invalid input|Invalid option|Too small|Too big): /v, '');
	return message.startsWith('expected') ? message : `expected a valid value: ${message}`;
}
