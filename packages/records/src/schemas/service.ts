import {ADJACENCIES, WORK_CLASSES} from '@amaranthsail/core';
import {z} from 'zod';
import {nameSchema, positiveIntegerSchema, shapeSchema} from './common.js';

/** Default limit of a job's input. */
const DEFAULT_MAX_INPUT_BYTES = 1_048_576;

const operationSchema = z.strictObject({
	workClass: z.enum(WORK_CLASSES),
	/** Whether a job may run more than once. */
	repeatable: z.boolean(),
	checkpointable: z.boolean().default(false),
	/** Resources of each task when the request does not specify them. */
	shape: shapeSchema.prefault({}),
	/** Required adjacency of a gang's tasks when the request does not specify it. */
	adjacency: z.enum(ADJACENCIES).default('failureDomain'),
	maxTaskCount: positiveIntegerSchema.default(1),
	/** Maximum run time; a task that runs longer is stopped. */
	maxRunMs: positiveIntegerSchema,
	limits: z.strictObject({
		/** Maximum number of accelerators of one task; when absent, any number that fits. */
		maxAccelerators: positiveIntegerSchema.optional(),
		maxInputBytes: positiveIntegerSchema.default(DEFAULT_MAX_INPUT_BYTES),
	}).prefault({}),
});

/** `Service`, schema version 1. */
export const serviceV1 = z.strictObject({
	/** Operations by id. */
	operations: z.record(nameSchema, operationSchema).refine(operations => Object.keys(operations).length > 0, 'expected at least one operation'),
});

/** Spec of a service in the newest schema version. */
export type ServiceSpec = z.output<typeof serviceV1>;

/** Spec of one operation in the newest schema version. */
export type OperationSpec = z.output<typeof operationSchema>;
