import {RESOURCE_NAMES, type ResourceName} from '@amaranthsail/core';
import {z} from 'zod';

/** Pattern of the names of records, racks and operations; no dots, so that field paths are unambiguous. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9\-]{0,62}$/v;

/** Name of a record, rack or operation. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'expected 1 to 63 lower-case letters, digits or dashes');

/** An integer of at least 0. */
export const nonNegativeIntegerSchema = z.int().min(0);

/** An integer of at least 1. */
export const positiveIntegerSchema = z.int().min(1);

/** A number of at least 0, such as a weight. */
export const nonNegativeNumberSchema = z.number().min(0);

const resourceSchemas = Object.fromEntries(RESOURCE_NAMES.map(name => [name, nonNegativeIntegerSchema])) as Record<ResourceName, typeof nonNegativeIntegerSchema>;

/** Resources of a worker; all five are required. */
export const resourcesSchema = z.strictObject(resourceSchemas);

/** Resources of one task; the defaults suit a small task. */
export const shapeSchema = z.strictObject({
	slots: nonNegativeIntegerSchema.default(1),
	connections: nonNegativeIntegerSchema.default(1),
	processors: nonNegativeIntegerSchema.default(1),
	memoryMb: nonNegativeIntegerSchema.default(1024),
	accelerators: nonNegativeIntegerSchema.default(0),
});
