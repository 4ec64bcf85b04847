import {chooseBySwitches, type FaultPlan, type FaultSwitches} from '@amaranthsail/backing-services';
import {z} from 'zod';
import {json, type Route} from './http-server.js';
import {withBody} from './replies.js';

/** Longest delay, so that a forgotten fault cannot hold a connection for good. */
const MAX_LATENCY_MS = 600_000;

const switchesSchema = z.strictObject({
	unavailable: z.boolean().optional(),
	loseRequestsBeforeEffect: z.boolean().optional(),
	loseAnswersAfterEffect: z.boolean().optional(),
	duplicateRequests: z.boolean().optional(),
	staleReads: z.boolean().optional(),
	truncateObjects: z.boolean().optional(),
	latencyMs: z.number().min(0).max(MAX_LATENCY_MS).optional(),
	services: z.array(z.enum(['tables', 'objects', 'worker'])).optional(),
	operations: z.array(z.string()).optional(),
	skip: z.int().min(0).optional(),
	count: z.int().min(0).optional(),
	every: z.int().min(1).optional(),
}) satisfies z.ZodType<FaultSwitches>;

/**
 * Makes the routes that switch faults. A new set of switches replaces the one before.
 *
 * @param faults - The plan of the services.
 * @returns The routes.
 */
export function faultRoutes(faults: FaultPlan): readonly Route[] {
	return [
		['PUT', '/v1/faults', withBody(switchesSchema, switches => {
			faults.use(chooseBySwitches(switches));
			return json(switches);
		})],
		['DELETE', '/v1/faults', () => {
			faults.clear();
			return json({});
		}],
	];
}
