import {z} from 'zod';
import {nameSchema, resourcesSchema} from './common.js';

const rackSchema = z.strictObject({
	/** Resources of each worker of the rack. */
	workers: z.array(resourcesSchema).min(1),
});

/** `FailureDomain`, schema version 1. */
export const failureDomainV1 = z.strictObject({
	region: nameSchema,
	/** Expected one-way delay to the other failure domains of the region; informational. */
	peerDelayMs: z.number().min(0).optional(),
	/** Expected one-way delay to clients; informational. */
	clientDelayMs: z.number().min(0).optional(),
	/** Declared racks by name. */
	racks: z.record(nameSchema, rackSchema).default({}),
});

/** Spec of a failure domain in the newest schema version. */
export type FailureDomainSpec = z.output<typeof failureDomainV1>;
