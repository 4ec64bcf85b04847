import {type OrderOutcome, REFUSALS, type WorkerOrder, type WorkerPort} from '@amaranthsail/pool';
import {type CallNetwork, CALLS} from './call-network.js';
import type {WorkerIncarnation} from './worker-incarnation.js';

/** Timeout of the product's client for an order. */
const ORDER_TIMEOUT_MS = 700;

/** Time that the product's client allows for the answer to a renewal beyond the worker's own wait. */
const RENEWAL_GRACE_MS = 700;

type RenewalRequest = Parameters<WorkerPort['renewLease']>[0];
type RenewalOutcome = Awaited<ReturnType<WorkerPort['renewLease']>>;

/** Calls of an agent to an emulated worker. A call reaches the incarnation that is up when it is carried out. */
export class EmulatedWorkerPort implements WorkerPort {
	readonly #network: CallNetwork;
	readonly #present: () => WorkerIncarnation | undefined;

	/**
	 * @param network - Delays and loses calls and answers.
	 * @param present - Returns the incarnation that is up.
	 */
	constructor(network: CallNetwork, present: () => WorkerIncarnation | undefined) {
		this.#network = network;
		this.#present = present;
	}

	async order(order: WorkerOrder, epoch: number, workerId: string): Promise<{readonly outcome: OrderOutcome}> {
		const outcome = await this.#network.call<OrderOutcome>(order.kind === 'start' ? CALLS.start : CALLS.stop, ORDER_TIMEOUT_MS, async () => {
			const worker = this.#present();
			if (!worker) {
				return {kind: 'gone'};
			}

			return worker.id === workerId ? worker.order(order, epoch) : {kind: 'refused', reason: REFUSALS.otherLife};
		});
		return {outcome: outcome ?? {kind: 'unknown', message: 'no answer'}};
	}

	async renewLease(request: RenewalRequest): Promise<RenewalOutcome> {
		const outcome = await this.#network.call<RenewalOutcome>(CALLS.renewal, request.waitMs + (request.graceMs ?? RENEWAL_GRACE_MS), async () => {
			const worker = this.#present();
			if (!worker) {
				return {kind: 'gone'};
			}

			if (request.workerId !== undefined && request.workerId !== worker.id) {
				return {kind: 'refused', reason: REFUSALS.otherLife};
			}

			const answer = await worker.renew(request);
			if (!answer) {
				return undefined;
			}

			return 'lists' in answer ? {kind: 'lists', lists: answer.lists} : {kind: 'refused', reason: answer.refusal};
		});
		return outcome ?? {kind: 'unknown', message: 'no answer'};
	}
}
