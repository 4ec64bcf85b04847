import {z} from 'zod';
import {nameSchema, positiveSchema} from './common.js';

/** `ClientAccount`, schema version 1. */
export const clientAccountV1 = z.strictObject({
	/** Part in sharing relative to the other accounts. */
	weight: z.number().positive(),
	/** Most accelerators that the account may hold at once. */
	maxAccelerators: positiveSchema.optional(),
	/** Services that the account may call; absent means all. */
	services: z.array(nameSchema).optional(),
});

/** A client account as the newest readers see it. */
export type ClientAccountSpec = z.output<typeof clientAccountV1>;
