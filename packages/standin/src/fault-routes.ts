import {chooseBySwitches, type FaultPlan, type FaultSwitches} from '@amaranthsail/backing-services';
import {z} from 'zod';
import {jsonReply, type Route} from './http-server.js';
import {withJsonBody} from './replies.js';

/** Maximum delay, so that a fault that is never removed cannot block a connection forever. */
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
 * Creates the routes that set and remove faults. New switches replace all previous ones.
 *
 * @param faults - The fault plan of the services.
 * @returns The routes.
 */
export function createFaultRoutes(faults: FaultPlan): readonly Route[] {
	return [
		['PUT', '/v1/faults', withJsonBody(switchesSchema, switches => {
			faults.use(chooseBySwitches(switches));
			return jsonReply(switches);
		})],
		['DELETE', '/v1/faults', () => {
			faults.clear();
			return jsonReply({});
		}],
	];
}
