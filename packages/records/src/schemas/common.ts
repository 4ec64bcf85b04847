import {RESOURCE_NAMES, type ResourceName} from '@amaranthsail/core';
import {z} from 'zod';

/** What a name of a record, rack or operation looks like; without dots, so that field paths stay unambiguous. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9\-]{0,62}$/v;

/** A name of a record, rack or operation. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'expected 1 to 63 lower-case letters, digits or dashes');

/** A whole number from 0 up. */
export const countSchema = z.int().min(0);

/** A whole number from 1 up. */
export const positiveSchema = z.int().min(1);

/** A share or weight from 0 up. */
export const weightSchema = z.number().min(0);

const resourceShape = Object.fromEntries(RESOURCE_NAMES.map(name => [name, countSchema])) as Record<ResourceName, typeof countSchema>;

/** All five limits of a worker. */
export const resourcesSchema = z.strictObject(resourceShape);

/** What one task takes; a limit that is not given takes the usual amount of a small task. */
export const shapeSchema = z.strictObject({
	slots: countSchema.default(1),
	connections: countSchema.default(1),
	processors: countSchema.default(1),
	memoryMb: countSchema.default(1024),
	accelerators: countSchema.default(0),
});
