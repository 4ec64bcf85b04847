import {err, ok, type Address, type Result} from '@amaranthsail/core';
import {z} from 'zod';
import {apiError, type ApiError} from './api-error.js';
import type {ApiRequest, ApiResponse, Route} from './http-server.js';
import type {EntryMember, Membership} from './membership.js';
import type {PeerClients} from './peer-client.js';
import type {PeerService, PeerStatus} from './peer-router.js';

/** Timeout of a call to another entry. */
const PEER_CALL_TIMEOUT_MS = 1500;

const drainBodySchema = z.union([
	z.strictObject({failureDomain: z.string().min(1)}),
	z.strictObject({processId: z.string().min(1)}),
]);

/** The owner of a failure domain, its epoch and the address for datagrams of agents. */
export type OwnerAddress = {readonly ownerId: string; readonly epoch: number} & Address;

/** Dependencies of {@link SystemRoutes}. */
export type SystemRoutesOptions = {
	readonly self: () => EntryMember;
	readonly membership: Membership;
	readonly local: PeerService;
	readonly peers: PeerClients;
	readonly ownerOf: (failureDomain: string) => OwnerAddress | undefined;
	/** Why this process is not ready, or undefined when it is. */
	readonly notReadyReason: () => string | undefined;
};

/** API routes for health, status and drains, and for the owner discovery of agents. */
export class SystemRoutes {
	readonly #options: SystemRoutesOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: SystemRoutesOptions) {
		this.#options = options;
	}

	/** Routes to serve. */
	get routes(): readonly Route[] {
		return [
			{method: 'GET', path: '/healthz', role: undefined, handle: async () => ok({status: 200, body: {status: 'ok'}})},
			{method: 'GET', path: '/readyz', role: undefined, handle: async () => this.#ready()},
			{method: 'GET', path: '/v1/owners/:failureDomain', role: 'process', handle: async request => this.#owner(request)},
			{method: 'GET', path: '/v1/status', role: 'operator', handle: async () => this.#status()},
			{method: 'POST', path: '/v1/drain', role: 'operator', handle: async request => this.#drain(request)},
		];
	}

	#ready(): Result<ApiResponse, ApiError> {
		const reason = this.#options.notReadyReason();
		return reason === undefined
			? ok({status: 200, body: {status: 'ready', revision: this.#options.self().revision}})
			: err(apiError('not_ready', reason, {outcome: 'unknown'}));
	}

	#owner(request: ApiRequest): Result<ApiResponse, ApiError> {
		const owner = this.#options.ownerOf(request.parameters.failureDomain ?? '');
		return owner
			? ok({status: 200, body: owner})
			: err(apiError('not_found', 'The failure domain has no owner at the moment; ask again.'));
	}

	async #status(): Promise<Result<ApiResponse, ApiError>> {
		const {membership, local, peers, self} = this.#options;
		const others = await Promise.all(membership.others.map(async member => {
			const status = await peers.call(member, PEER_CALL_TIMEOUT_MS, async (client, signal) => client.status.query(undefined, {signal}));
			return describeMember(member, status);
		}));
		const entries = [describeMember(self(), await local.status()), ...others];
		const revisions = entries.flatMap(entry => [entry.revision, ...entry.workers.map(worker => worker.revision)]);
		return ok({
			status: 200, body: {
				entries,
				lowestRevisionInForce: Math.min(...revisions),
				highestRevisionInForce: Math.max(...revisions),
			},
		});
	}

	async #drain(request: ApiRequest): Promise<Result<ApiResponse, ApiError>> {
		const parsed = drainBodySchema.safeParse(request.body);
		if (!parsed.success) {
			return err(apiError('invalid_request', 'The body must be {"failureDomain": NAME} or {"processId": ID}.'));
		}

		const target = 'processId' in parsed.data ? parsed.data.processId : this.#options.ownerOf(parsed.data.failureDomain)?.ownerId;
		const failureDomain = 'failureDomain' in parsed.data ? parsed.data.failureDomain : undefined;
		if (target === undefined) {
			return err(apiError('not_found', `Failure domain ${failureDomain ?? ''} has no owner.`));
		}

		if (target === this.#options.self().processId) {
			await this.#options.local.drain(failureDomain);
			return ok({status: 202, body: {processId: target, failureDomain}});
		}

		const address = this.#options.membership.addressOf(target);
		if (!address) {
			return err(apiError('not_found', `There is no process ${target}.`));
		}

		const isDrainStarted = await this.#options.peers.call(address, PEER_CALL_TIMEOUT_MS, async (client, signal) => {
			await client.drain.mutate({failureDomain}, {signal});
			return true;
		});
		return isDrainStarted
			? ok({status: 202, body: {processId: target, failureDomain}})
			: err(apiError('owner_unavailable', `Process ${target} does not answer.`, {outcome: 'unknown'}));
	}
}

type MemberDescription = EntryMember & Pick<PeerStatus, 'owned' | 'workers' | 'alarms'> & {readonly answers: boolean};

function describeMember(member: EntryMember, status: PeerStatus | undefined): MemberDescription {
	return {
		...member,
		revision: status?.revision ?? member.revision,
		owned: status?.owned ?? [],
		workers: status?.workers ?? [],
		alarms: status?.alarms ?? [],
		answers: status !== undefined,
	};
}
