import {err, type Resources, type TaskAssignment, type TaskKey} from '@amaranthsail/core';
import type {MemoryWorkerRuntime} from '@amaranthsail/backing-services';
import {z} from 'zod';
import {jsonReply, type Reply, type Route} from './http-server.js';
import {createReply, withJsonBody} from './replies.js';

const quantitySchema = z.number().min(0);

/** Schema of the five resources of a worker or task. */
export const resourcesSchema = z.strictObject({
	slots: quantitySchema, connections: quantitySchema, processors: quantitySchema, memoryMb: quantitySchema, accelerators: quantitySchema,
}) satisfies z.ZodType<Resources>;

const taskKeySchema = z.object({jobId: z.string().min(1), attempt: z.int().min(0), taskIndex: z.int().min(0)}) satisfies z.ZodType<TaskKey>;

const assignmentSchema = z.object({
	account: z.string(),
	service: z.string(),
	operation: z.string(),
	endpointId: z.string(),
	shape: resourcesSchema,
	accelerators: z.array(z.int().min(0)),
	taskCount: z.int().min(1),
	repeatable: z.boolean(),
	checkpointable: z.boolean(),
	inlineInput: z.string().optional(),
	inputKey: z.string().optional(),
	checkpointKey: z.string().optional(),
}) satisfies z.ZodType<TaskAssignment>;

const keyBodySchema = z.object({key: taskKeySchema});
const leaseSchema = z.object({key: taskKeySchema, leaseUntilMs: z.number()});

/**
 * Creates the routes of the worker runtime.
 *
 * @param runtime - The worker runtime.
 * @param loadCheckpoint - Loads a checkpoint before the start of a task that continues from it.
 * @param loadInput - Loads an input that is not part of the assignment; undefined when it is not available now.
 * @returns The routes.
 */
export function createWorkerRoutes(
	runtime: MemoryWorkerRuntime,
	loadCheckpoint: (key: string) => Promise<void>,
	loadInput: (key: string) => Promise<string | undefined>,
): readonly Route[] {
	const createValueReply = (result: unknown): Reply => jsonReply({value: result ?? {}});
	const handleStart = withJsonBody(leaseSchema.extend({assignment: assignmentSchema}), async ({key, assignment, leaseUntilMs}) => {
		if (assignment.checkpointKey !== undefined) {
			await loadCheckpoint(assignment.checkpointKey);
		}

		const input = assignment.inputKey === undefined ? assignment.inlineInput : await loadInput(assignment.inputKey);
		if (assignment.inputKey !== undefined && input === undefined) {
			return createReply(err({kind: 'unavailable', message: 'the input could not be fetched'}), createValueReply);
		}

		return createReply(await runtime.start(key, {...assignment, inlineInput: input}, leaseUntilMs), createValueReply);
	});
	return [
		['GET', '/v1/runtime/facts', async () => createReply(await runtime.facts(), createValueReply)],
		['GET', '/v1/runtime/tasks', async () => createReply(await runtime.list(), createValueReply)],
		['POST', '/v1/runtime/start', handleStart],
		['POST', '/v1/runtime/renew', withJsonBody(z.object({leases: z.array(leaseSchema)}), async ({leases}) => createReply(await runtime.renew(leases), createValueReply))],
		['POST', '/v1/runtime/checkpoint', withJsonBody(keyBodySchema, async ({key}) => createReply(await runtime.checkpoint(key), createValueReply))],
		['POST', '/v1/runtime/throttle', withJsonBody(keyBodySchema, async ({key}) => createReply(await runtime.throttle(key), createValueReply))],
		['POST', '/v1/runtime/stop', withJsonBody(keyBodySchema, async ({key}) => createReply(await runtime.stop(key), createValueReply))],
		['POST', '/v1/runtime/forget', withJsonBody(keyBodySchema, async ({key}) => createReply(await runtime.forget(key), createValueReply))],
		['GET', '/v1/executions', () => jsonReply({executions: runtime.executions()})],
	];
}
