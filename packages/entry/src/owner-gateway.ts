import {FINAL_JOB_STATES, type Address, type JobRow} from '@amaranthsail/core';
import type {JobStore} from './job-store.js';
import type {PeerCall, PeerClients} from './peer-client.js';
import type {PeerService} from './peer-router.js';
import {sleep} from './sleep.js';

/** Timeout of a short call to another entry. */
const PEER_CALL_TIMEOUT_MS = 1500;

/** How many times a notification is sent until an owner accepts it. With the delay, this outlasts a change of owner. */
const MAX_NOTIFICATION_TRIES = 12;

/** Delay before a notification is sent again. */
const NOTIFICATION_RETRY_DELAY_MS = 500;

/** Interval at which a job is read from the tables while its owner cannot be reached. */
const POLL_INTERVAL_MS = 500;

/** Longest single wait at an owner; bounded so that a change of owner is noticed. */
const MAX_OWNER_WAIT_MS = 3000;

/** Dependencies of {@link OwnerGateway}. */
export type OwnerGatewayOptions = {
	readonly processId: string;
	/** Finds the owner of a failure domain and the address at which it serves calls of other entries. */
	readonly ownerOf: (failureDomain: string) => {readonly ownerId: string; readonly control: Address} | undefined;
	/** Executes the calls when this entry is the owner. */
	readonly local: PeerService;
	readonly peers: PeerClients;
	readonly jobs: JobStore;
};

/** Calls the owner of a failure domain, whether it is this entry or another one. */
export class OwnerGateway {
	readonly #options: OwnerGatewayOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: OwnerGatewayOptions) {
		this.#options = options;
	}

	/**
	 * Notifies the owner of accepted jobs, repeatedly until an owner accepts the notification. If none does, the owner
	 * finds the jobs by its scan of open jobs.
	 *
	 * @param failureDomain - The failure domain of the jobs.
	 * @param jobIds - The ids of the jobs.
	 */
	async notify(failureDomain: string, jobIds: readonly string[]): Promise<void> {
		for (let count = 1; count <= MAX_NOTIFICATION_TRIES; count++) {
			const isNotified = await this.#callOwner(
				failureDomain,
				PEER_CALL_TIMEOUT_MS,
				async local => local.notify(failureDomain, jobIds),
				async (client, signal) => client.notify.mutate({failureDomain, jobIds: [...jobIds]}, {signal}),
			);
			if (isNotified) {
				return;
			}

			await sleep(NOTIFICATION_RETRY_DELAY_MS);
		}
	}

	/**
	 * Asks the owner to cancel jobs.
	 *
	 * @param failureDomain - The failure domain of the jobs.
	 * @param jobIds - The ids of the jobs.
	 * @returns Whether an owner accepted the request.
	 */
	async cancel(failureDomain: string, jobIds: readonly string[]): Promise<boolean> {
		const isAccepted = await this.#callOwner(
			failureDomain,
			PEER_CALL_TIMEOUT_MS,
			async local => local.cancel(failureDomain, jobIds),
			async (client, signal) => client.cancel.mutate({failureDomain, jobIds: [...jobIds]}, {signal}),
		);
		return isAccepted ?? false;
	}

	/**
	 * Asks the owner why a job is waiting.
	 *
	 * @param failureDomain - The failure domain of the job.
	 * @param jobId - The id of the job.
	 * @returns The explanation, or undefined when no owner answers.
	 */
	async explain(failureDomain: string, jobId: string): Promise<unknown> {
		return this.#callOwner(
			failureDomain,
			PEER_CALL_TIMEOUT_MS,
			async local => local.explain(failureDomain, jobId),
			async (client, signal) => client.explain.query({failureDomain, jobId}, {signal}),
		);
	}

	/**
	 * Waits until a job is in a final state or the timeout has passed.
	 *
	 * @param row - The row of the job as last read.
	 * @param timeoutMs - Longest wait, in milliseconds.
	 * @returns The newest row that was read.
	 */
	async waitForFinalState(row: JobRow, timeoutMs: number): Promise<JobRow> {
		const deadlineMs = performance.now() + timeoutMs;
		let newest = row;
		for (;;) {
			const remainingMs = deadlineMs - performance.now();
			if (FINAL_JOB_STATES.has(newest.state) || remainingMs <= 0) {
				return newest;
			}

			const waitMs = Math.min(remainingMs, MAX_OWNER_WAIT_MS);
			const {jobId, failureDomain} = newest;
			const rowFromOwner = await this.#callOwner(
				failureDomain,
				waitMs + PEER_CALL_TIMEOUT_MS,
				async local => local.waitForJob(failureDomain, jobId, waitMs),
				async (client, signal) => client.waitForJob.query({failureDomain, jobId, timeoutMs: waitMs}, {signal}),
			);
			if (rowFromOwner) {
				newest = rowFromOwner;
				continue;
			}

			await sleep(Math.min(POLL_INTERVAL_MS, Math.max(0, deadlineMs - performance.now())));
			const readResult = await this.#options.jobs.read(newest.spec.account, jobId);
			newest = readResult.ok ? readResult.value.row : newest;
		}
	}

	async #callOwner<Answer>(
		failureDomain: string,
		timeoutMs: number,
		callLocal: (local: PeerService) => Promise<Answer>,
		callPeer: PeerCall<Answer>,
	): Promise<Answer | undefined> {
		const {processId, ownerOf, local, peers} = this.#options;
		const owner = ownerOf(failureDomain);
		if (owner?.ownerId === processId) {
			return callLocal(local);
		}

		return owner && peers.call(owner.control, timeoutMs, callPeer);
	}
}
