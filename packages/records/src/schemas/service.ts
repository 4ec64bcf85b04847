import {ADJACENCIES, WORK_CLASSES} from '@amaranthsail/core';
import {z} from 'zod';
import {nameSchema, positiveSchema, shapeSchema} from './common.js';

/** Longest input of a job in bytes unless the record says otherwise. */
const DEFAULT_MAX_INPUT_BYTES = 1_048_576;

const operationSchema = z.strictObject({
	workClass: z.enum(WORK_CLASSES),
	/** Whether a job may run more than once. */
	repeatable: z.boolean(),
	checkpointable: z.boolean().default(false),
	/** What each task takes when the caller does not say. */
	shape: shapeSchema.prefault({}),
	/** How close the tasks of a gang have to be when the caller does not say. */
	adjacency: z.enum(ADJACENCIES).default('failureDomain'),
	maxTaskCount: positiveSchema.default(1),
	/** A task that runs longer is stopped. */
	maxRunMs: positiveSchema,
	limits: z.strictObject({
		/** Most accelerators of one task; absent means any number that fits. */
		maxAccelerators: positiveSchema.optional(),
		maxInputBytes: positiveSchema.default(DEFAULT_MAX_INPUT_BYTES),
	}).prefault({}),
});

/** `Service`, schema version 1. */
export const serviceV1 = z.strictObject({
	/** Operations by id. */
	operations: z.record(nameSchema, operationSchema).refine(operations => Object.keys(operations).length > 0, 'expected at least one operation'),
});

/** A service as the newest readers see it. */
export type ServiceSpec = z.output<typeof serviceV1>;

/** One operation of a service as the newest readers see it. */
export type OperationSpec = z.output<typeof operationSchema>;
