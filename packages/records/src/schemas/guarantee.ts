import {ADJACENCIES} from '@amaranthsail/core';
import {z} from 'zod';
import {nameSchema, positiveIntegerSchema} from './common.js';

/** `Guarantee`, schema version 1. */
export const guaranteeV1 = z.strictObject({
	account: nameSchema,
	failureDomain: nameSchema,
	/** Number of accelerators of one shape. */
	accelerators: positiveIntegerSchema,
	/** Number of shapes. */
	count: positiveIntegerSchema,
});

/**
 * `Guarantee`, schema version 2. Version 1 guaranteed neither adjacency nor survival of a rack loss,
 * so the defaults are the weakest guarantees.
 */
export const guaranteeV2 = z.strictObject({
	...guaranteeV1.shape,
	adjacency: z.enum(ADJACENCIES).default('failureDomain'),
	survivesRackLoss: z.boolean().default(false),
});

/** Spec of a guarantee in the newest schema version. */
export type GuaranteeSpec = z.output<typeof guaranteeV2>;
