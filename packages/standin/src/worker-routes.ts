import {err, type Resources, type TaskAssignment, type TaskKey} from '@amaranthsail/core';
import type {MemoryWorkerRuntime} from '@amaranthsail/backing-services';
import {z} from 'zod';
import {json, type Reply, type Route} from './http-server.js';
import {replyOf, withBody} from './replies.js';

const amountSchema = z.number().min(0);

/** The five limits of a worker. */
export const resourcesSchema = z.strictObject({
	slots: amountSchema, connections: amountSchema, processors: amountSchema, memoryMb: amountSchema, accelerators: amountSchema,
}) satisfies z.ZodType<Resources>;

const keySchema = z.object({jobId: z.string().min(1), attempt: z.int().min(0), taskIndex: z.int().min(0)}) satisfies z.ZodType<TaskKey>;

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

const keyBodySchema = z.object({key: keySchema});
const leaseSchema = z.object({key: keySchema, leaseUntilMs: z.number()});

/**
 * Makes the routes of the worker runtime.
 *
 * @param runtime - Runs the tasks.
 * @param loadCheckpoint - Fetches a checkpoint before the start of a task that continues from it.
 * @param loadInput - Fetches an input that did not travel with the assignment; undefined when it cannot be had now.
 * @returns The routes.
 */
export function workerRoutes(
	runtime: MemoryWorkerRuntime,
	loadCheckpoint: (key: string) => Promise<void>,
	loadInput: (key: string) => Promise<string | undefined>,
): readonly Route[] {
	const value = (result: unknown): Reply => json({value: result ?? {}});
	const start = withBody(leaseSchema.extend({assignment: assignmentSchema}), async ({key, assignment, leaseUntilMs}) => {
		if (assignment.checkpointKey !== undefined) {
			await loadCheckpoint(assignment.checkpointKey);
		}

		const input = assignment.inputKey === undefined ? assignment.inlineInput : await loadInput(assignment.inputKey);
		if (assignment.inputKey !== undefined && input === undefined) {
			return replyOf(err({kind: 'unavailable', message: 'the input could not be fetched'}), value);
		}

		return replyOf(await runtime.start(key, {...assignment, inlineInput: input}, leaseUntilMs), value);
	});
	return [
		['GET', '/v1/runtime/facts', async () => replyOf(await runtime.facts(), value)],
		['GET', '/v1/runtime/tasks', async () => replyOf(await runtime.list(), value)],
		['POST', '/v1/runtime/start', start],
		['POST', '/v1/runtime/renew', withBody(z.object({leases: z.array(leaseSchema)}), async ({leases}) => replyOf(await runtime.renew(leases), value))],
		['POST', '/v1/runtime/checkpoint', withBody(keyBodySchema, async ({key}) => replyOf(await runtime.checkpoint(key), value))],
		['POST', '/v1/runtime/throttle', withBody(keyBodySchema, async ({key}) => replyOf(await runtime.throttle(key), value))],
		['POST', '/v1/runtime/stop', withBody(keyBodySchema, async ({key}) => replyOf(await runtime.stop(key), value))],
		['POST', '/v1/runtime/forget', withBody(keyBodySchema, async ({key}) => replyOf(await runtime.forget(key), value))],
		['GET', '/v1/executions', () => json({executions: runtime.executions()})],
	];
}
