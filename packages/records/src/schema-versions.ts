import type {z} from 'zod';
import type {JsonObject, RecordKind} from './record-document.js';
import {clientAccountV1} from './schemas/client-account.js';
import {failureDomainV1} from './schemas/failure-domain.js';
import {guaranteeV1, guaranteeV2} from './schemas/guarantee.js';
import {policyV1} from './schemas/policy.js';
import {serviceV1} from './schemas/service.js';

/** One schema version of a kind. */
export type SchemaVersion = {
	readonly schemaVersion: number;
	readonly schema: z.ZodObject;
};

const SCHEMA_VERSIONS: Readonly<Record<RecordKind, readonly SchemaVersion[]>> = {
	FailureDomain: [{schemaVersion: 1, schema: failureDomainV1}],
	Service: [{schemaVersion: 1, schema: serviceV1}],
	ClientAccount: [{schemaVersion: 1, schema: clientAccountV1}],
	Guarantee: [
		{schemaVersion: 1, schema: guaranteeV1},
		{schemaVersion: 2, schema: guaranteeV2},
	],
	Policy: [{schemaVersion: 1, schema: policyV1}],
};

/**
 * Lists the schema versions of a kind.
 *
 * @param kind - The kind.
 * @returns Its versions, oldest first; never empty.
 */
export function schemaVersionsOf(kind: RecordKind): readonly SchemaVersion[] {
	return SCHEMA_VERSIONS[kind];
}

/**
 * Finds the newest schema version of a kind.
 *
 * @param kind - The kind.
 * @returns The version in which readers get records of the kind.
 */
export function newestVersionOf(kind: RecordKind): SchemaVersion {
	return SCHEMA_VERSIONS[kind].at(-1)!;
}

/**
 * Finds the schema version that introduced a field.
 *
 * @param kind - The kind.
 * @param field - A field path such as `weights.peak`.
 * @returns The first version whose schema has the first key of the path, or undefined when none has.
 */
export function versionOfField(kind: RecordKind, field: string): number | undefined {
	const [first] = field.split('.');
	return SCHEMA_VERSIONS[kind].find(({schema}) => Object.hasOwn(schema.shape, first!))?.schemaVersion;
}

/**
 * Lists the fields of a spec that a schema does not define.
 *
 * @param schema - The schema.
 * @param spec - The spec.
 * @returns Paths of unknown fields; all fields under such a path are unknown too.
 */
export function unknownFieldsOf(schema: z.ZodObject, spec: JsonObject): readonly string[] {
	const issues = schema.safeParse(spec).error?.issues ?? [];
	return issues.flatMap(issue => issue.code === 'unrecognized_keys'
		? issue.keys.map(key => [...issue.path.map(String), key].join('.'))
		: []);
}

/**
 * Checks whether a path is the path of a field or of one of its parents.
 *
 * @param path - The path.
 * @param field - The path of the field.
 * @returns True when `field` is `path` or lies under it.
 */
export function covers(path: string, field: string): boolean {
	return field === path || field.startsWith(`${path}.`);
}
