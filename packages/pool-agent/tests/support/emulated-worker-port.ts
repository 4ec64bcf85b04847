import {FencingTokens} from '@amaranthsail/platform-adapter';
import {
	type LeaseRenewal, type OrderOutcome, type OrderReceiver, REFUSALS, type Refusal, type WorkerOrder, type WorkerPort,
} from '@amaranthsail/pool';
import {type CallNetwork, CALLS} from './call-network.js';
import type {WorkerIncarnation} from './worker-incarnation.js';

/** Timeout of the product's client for an order. */
const ORDER_TIMEOUT_MS = 700;

/** Time that the product's client allows for the answer to a renewal beyond the worker's own wait. */
const RENEWAL_GRACE_MS = 700;

type RenewalOutcome = Awaited<ReturnType<WorkerPort['renewLease']>>;

type NotCarriedOut = {readonly kind: 'gone'} | {readonly kind: 'refused'; readonly reason: Refusal};

/**
 * Calls of an agent to an emulated worker. What is meant for one incarnation is sent only while that one is up; the call
 * reaches the incarnation that is up when it is carried out.
 */
export class EmulatedWorkerPort implements WorkerPort {
	readonly #network: CallNetwork;
	readonly #present: () => WorkerIncarnation | undefined;
	readonly #areCallsBound: boolean;
	readonly #tokens = new FencingTokens();

	/**
	 * @param network - Delays and loses calls and answers.
	 * @param present - Returns the incarnation that is up.
	 * @param areCallsBound - Whether calls that were sent to an incarnation never reach a later one.
	 */
	constructor(network: CallNetwork, present: () => WorkerIncarnation | undefined, areCallsBound: boolean) {
		this.#network = network;
		this.#present = present;
		this.#areCallsBound = areCallsBound;
	}

	async order(order: WorkerOrder, epoch: number, receiver: OrderReceiver): Promise<{readonly outcome: OrderOutcome}> {
		if (this.#isOtherPresent(receiver.startedAtMs)) {
			return {outcome: {kind: 'refused', reason: REFUSALS.otherLife}};
		}

		const token = this.#tokens.tokenFor(epoch, receiver.startedAtMs);
		const carryOut = async (worker: WorkerIncarnation): Promise<OrderOutcome> => worker.order(order, token);
		const outcome = await this.#network.call(order.kind === 'start' ? CALLS.start : CALLS.stop, ORDER_TIMEOUT_MS, this.#toPresent(receiver.id, carryOut));
		if (outcome?.kind === 'refused' && outcome.reason === REFUSALS.fenced && !this.#tokens.isDeposed(epoch)) {
			this.#tokens.raise(token, epoch, receiver.startedAtMs);
			return {outcome: {kind: 'refused', reason: REFUSALS.otherLife}};
		}

		return {outcome: outcome ?? {kind: 'unknown', message: 'no answer'}};
	}

	async renewLease(request: LeaseRenewal): Promise<RenewalOutcome> {
		const {epoch, waitMs, startedAtMs} = request;
		if (startedAtMs !== undefined) {
			this.#tokens.see(startedAtMs);
		}

		const grant = request.grant && !this.#isOtherPresent(request.grant.startedAtMs) ? request.grant : undefined;
		const token = grant ? this.#tokens.tokenFor(epoch, grant.startedAtMs) : this.#tokens.tokenForAny(epoch);
		const carryOut = async (worker: WorkerIncarnation): Promise<RenewalOutcome | undefined> => {
			const answer = await worker.renew({
				epoch: token, waitMs, ackSequence: grant?.ackSequence ?? 0, ...(grant?.leaseUntilMs !== undefined && {leaseUntilMs: grant.leaseUntilMs}),
			});
			if (!answer) {
				return undefined;
			}

			return 'lists' in answer ? {kind: 'lists', lists: answer.lists} : {kind: 'refused', reason: answer.refusal};
		};

		const outcome = await this.#network.call(CALLS.renewal, request.waitMs + (request.graceMs ?? RENEWAL_GRACE_MS), this.#toPresent(request.workerId, carryOut));
		const receiverMs = grant?.startedAtMs ?? startedAtMs;
		if (outcome?.kind === 'refused' && outcome.reason === REFUSALS.fenced && receiverMs !== undefined) {
			this.#tokens.raise(token, epoch, receiverMs);
		} else if (outcome?.kind === 'lists' && outcome.lists.bornMs !== undefined) {
			this.#tokens.see(outcome.lists.bornMs);
		}

		return outcome ?? {kind: 'unknown', message: 'no answer'};
	}

	#isOtherPresent(startedAtMs: number): boolean {
		const present = this.#present();
		return present !== undefined && present.bornMs !== startedAtMs;
	}

	/** @returns Carries a call out by the incarnation that is up then, if it has the id and the call can reach it. */
	#toPresent<Outcome>(workerId: string | undefined, carryOut: (worker: WorkerIncarnation) => Promise<Outcome | undefined>): () => Promise<Outcome | NotCarriedOut | undefined> {
		const sentTo = this.#present();
		return async () => {
			const worker = this.#present();
			if (this.#areCallsBound && sentTo && sentTo !== worker) {
				return undefined;
			}

			if (!worker || (this.#areCallsBound && !sentTo)) {
				return {kind: 'gone'};
			}

			return workerId === undefined || worker.id === workerId ? carryOut(worker) : {kind: 'refused', reason: REFUSALS.otherLife};
		};
	}
}
