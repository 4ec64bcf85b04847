import {CHECKPOINT_GRACE_MS} from '@amaranthsail/core';
import {ORDERINGS} from '@amaranthsail/scheduler';
import {z} from 'zod';
import {nonNegativeIntegerSchema, nameSchema, positiveIntegerSchema, nonNegativeNumberSchema} from './common.js';

/** Default limit of one account's waiting jobs; about a day's jobs of the largest installation. */
const DEFAULT_MAX_WAITING_PER_ACCOUNT = 1000;

const DEFAULT_STRAGGLER_FACTOR = 3;

/** `Policy`, schema version 1. */
export const policyV1 = z.strictObject({
	/** Failure domains that the policy applies to; when absent, it is the default for all others. */
	failureDomains: z.array(nameSchema).min(1).optional(),
	ordering: z.enum(ORDERINGS),
	/** Relative weights of the four measures of the `balanced` ordering. */
	weights: z.strictObject({
		completion: nonNegativeNumberSchema,
		fragmentation: nonNegativeNumberSchema,
		peak: nonNegativeNumberSchema,
		shortWork: nonNegativeNumberSchema,
	}).refine(weights => Object.values(weights).some(weight => weight > 0), 'expected at least one weight above 0'),
	lanes: z.strictObject({
		/** Share of accelerators and slots that long work may not use. */
		shortShare: z.number().min(0).max(1).default(0),
	}).prefault({}),
	limits: z.strictObject({
		maxWaitingPerAccount: positiveIntegerSchema.default(DEFAULT_MAX_WAITING_PER_ACCOUNT),
	}).prefault({}),
	grace: z.strictObject({
		/** Time that a task has to write a checkpoint before a reclaim stops it. */
		checkpointMs: nonNegativeIntegerSchema.default(CHECKPOINT_GRACE_MS),
	}).prefault({}),
	/** Multiple of the learned run time after which a repeatable job gets a second attempt; 0 disables this. */
	stragglerFactor: nonNegativeNumberSchema.default(DEFAULT_STRAGGLER_FACTOR),
});

/** Spec of a policy in the newest schema version. */
export type PolicySpec = z.output<typeof policyV1>;
