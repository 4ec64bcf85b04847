import {ADJACENCIES} from '@amaranthsail/core';
import {z} from 'zod';
import {nameSchema, positiveSchema} from './common.js';

/** `Guarantee`, schema version 1. */
export const guaranteeV1 = z.strictObject({
	account: nameSchema,
	failureDomain: nameSchema,
	/** Accelerators of one shape. */
	accelerators: positiveSchema,
	/** Number of shapes. */
	count: positiveSchema,
});

/**
 * `Guarantee`, schema version 2. Version 1 promised neither adjacency nor survival,
 * so the defaults are the weakest promises.
 */
export const guaranteeV2 = z.strictObject({
	...guaranteeV1.shape,
	adjacency: z.enum(ADJACENCIES).default('failureDomain'),
	survivesRackLoss: z.boolean().default(false),
});

/** A guarantee as the newest readers see it. */
export type GuaranteeSpec = z.output<typeof guaranteeV2>;
