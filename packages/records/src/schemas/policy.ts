import {CHECKPOINT_GRACE_MS} from '@amaranthsail/core';
import {ORDERINGS} from '@amaranthsail/scheduler';
import {z} from 'zod';
import {countSchema, nameSchema, positiveSchema, weightSchema} from './common.js';

/** Waiting jobs of one account unless the record says otherwise; about a day's jobs of the largest installation. */
const DEFAULT_MAX_WAITING = 1000;

const DEFAULT_STRAGGLER_FACTOR = 3;

/** `Policy`, schema version 1. */
export const policyV1 = z.strictObject({
	/** Failure domains that the policy applies to; absent makes it the default of all others. */
	failureDomains: z.array(nameSchema).min(1).optional(),
	ordering: z.enum(ORDERINGS),
	/** Relative weights of the four measures; used by `balanced`. */
	weights: z.strictObject({
		completion: weightSchema,
		fragmentation: weightSchema,
		peak: weightSchema,
		shortWork: weightSchema,
	}).refine(weights => Object.values(weights).some(weight => weight > 0), 'expected at least one weight above 0'),
	lanes: z.strictObject({
		/** Share of accelerators and slots that long work may not take. */
		shortShare: z.number().min(0).max(1).default(0),
	}).prefault({}),
	limits: z.strictObject({
		maxWaitingPerAccount: positiveSchema.default(DEFAULT_MAX_WAITING),
	}).prefault({}),
	grace: z.strictObject({
		/** Time a task gets to write a checkpoint before a reclaim stops it. */
		checkpointMs: countSchema.default(CHECKPOINT_GRACE_MS),
	}).prefault({}),
	/** Multiple of the learned run time after which a repeatable job gets a second attempt; 0 switches it off. */
	stragglerFactor: weightSchema.default(DEFAULT_STRAGGLER_FACTOR),
});

/** A policy as the newest readers see it. */
export type PolicySpec = z.output<typeof policyV1>;
