import type {JsonObject} from './record-document.js';

function isPlainObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Splits a spec into its fields. Nested objects are split too; a list is one field. An empty object has no fields,
 * so the schemas define a default for each object that may be empty.
 *
 * @param spec - The spec as written.
 * @returns Values by field path, for example `weights.peak`.
 */
export function flattenSpec(spec: JsonObject): ReadonlyMap<string, unknown> {
	const fields = new Map<string, unknown>();
	const descend = (object: JsonObject, prefix: string): void => {
		for (const [key, value] of Object.entries(object)) {
			if (value === undefined) {
				continue;
			}

			if (isPlainObject(value)) {
				descend(value, `${prefix}${key}.`);
			} else {
				fields.set(`${prefix}${key}`, value);
			}
		}
	};

	descend(spec, '');
	return fields;
}

/**
 * Builds a spec from its fields; the inverse of {@link flattenSpec}.
 *
 * @param fields - Pairs of field path and value.
 * @returns The spec.
 */
export function unflattenSpec(fields: Iterable<readonly [string, unknown]>): JsonObject {
	const spec: Record<string, unknown> = {};
	for (const [path, value] of fields) {
		const keys = path.split('.');
		const last = keys.pop()!;
		let target = spec;
		for (const key of keys) {
			target[key] ??= {};
			target = target[key] as Record<string, unknown>;
		}

		target[last] = value;
	}

	return spec;
}
