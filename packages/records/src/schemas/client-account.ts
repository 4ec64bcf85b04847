import {z} from 'zod';
import {nameSchema, positiveIntegerSchema} from './common.js';

/** `ClientAccount`, schema version 1. */
export const clientAccountV1 = z.strictObject({
	/** Weight of the account in fair sharing, relative to the other accounts. */
	weight: z.number().positive(),
	/** Maximum number of accelerators that the account may use at once. */
	maxAccelerators: positiveIntegerSchema.optional(),
	/** Services that the account may call; absent means all. */
	services: z.array(nameSchema).optional(),
});

/** Spec of a client account in the newest schema version. */
export type ClientAccountSpec = z.output<typeof clientAccountV1>;
