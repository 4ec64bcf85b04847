import {FINAL_JOB_STATES, type Address, type JobRow} from '@amaranthsail/core';
import type {JobStore} from './job-store.js';
import type {PeerCall, PeerClients} from './peer-client.js';
import type {PeerService} from './peer-router.js';
import {sleep} from './sleep.js';

/** Longest wait for a short call to another entry. */
const PEER_CALL_TIMEOUT_MS = 1500;

/** Notifications of a job until an owner takes one; they outlast a change of owner. */
const MAX_NOTIFICATIONS = 12;

/** Delay between two notifications of a job. */
const NOTIFICATION_DELAY_MS = 500;

/** How often a job is read from the tables while its owner cannot be asked. */
const POLL_INTERVAL_MS = 500;

/** Longest single wait at an owner, so that a change of owner is noticed. */
const OWNER_WAIT_MS = 3000;

/** What the gateway needs. */
export type OwnerGatewayOptions = {
	readonly processId: string;
	/** The owner of a failure domain and where it takes calls of other entries. */
	readonly ownerOf: (failureDomain: string) => {readonly ownerId: string; readonly control: Address} | undefined;
	/** What this entry does when it is the owner itself. */
	readonly local: PeerService;
	readonly peers: PeerClients;
	readonly jobs: JobStore;
};

/** Reaches the owner of a failure domain, whether it is this entry or another one. */
export class OwnerGateway {
	readonly #options: OwnerGatewayOptions;

	/**
	 * @param options - What it needs.
	 */
	constructor(options: OwnerGatewayOptions) {
		this.#options = options;
	}

	/**
	 * Tells the owner about accepted jobs, until one takes the notification. If none does, the owner finds the job by a scan.
	 *
	 * @param failureDomain - Where the jobs run.
	 * @param jobIds - The jobs.
	 */
	async notify(failureDomain: string, jobIds: readonly string[]): Promise<void> {
		for (let attempt = 1; attempt <= MAX_NOTIFICATIONS; attempt++) {
			const isTaken = await this.#ask(
				failureDomain,
				PEER_CALL_TIMEOUT_MS,
				async local => local.notify(failureDomain, jobIds),
				async (client, signal) => client.notify.mutate({failureDomain, jobIds: [...jobIds]}, {signal}),
			);
			if (isTaken) {
				return;
			}

			await sleep(NOTIFICATION_DELAY_MS);
		}
	}

	/**
	 * Asks the owner to cancel jobs.
	 *
	 * @param failureDomain - Where the jobs run.
	 * @param jobIds - The jobs.
	 * @returns Whether an owner has taken the request.
	 */
	async cancel(failureDomain: string, jobIds: readonly string[]): Promise<boolean> {
		const taken = await this.#ask(
			failureDomain,
			PEER_CALL_TIMEOUT_MS,
			async local => local.cancel(failureDomain, jobIds),
			async (client, signal) => client.cancel.mutate({failureDomain, jobIds: [...jobIds]}, {signal}),
		);
		return taken ?? false;
	}

	/**
	 * Asks the owner why a job waits.
	 *
	 * @param failureDomain - Where the job is.
	 * @param jobId - The job.
	 * @returns The explanation, or undefined when no owner answers.
	 */
	async explain(failureDomain: string, jobId: string): Promise<unknown> {
		return this.#ask(
			failureDomain,
			PEER_CALL_TIMEOUT_MS,
			async local => local.explain(failureDomain, jobId),
			async (client, signal) => client.explain.query({failureDomain, jobId}, {signal}),
		);
	}

	/**
	 * Waits until a job is final or the time is over.
	 *
	 * @param row - The job as last read.
	 * @param timeoutMs - Longest wait.
	 * @returns The newest row that was seen.
	 */
	async waitForFinal(row: JobRow, timeoutMs: number): Promise<JobRow> {
		const untilMs = performance.now() + timeoutMs;
		let newest = row;
		for (;;) {
			const leftMs = untilMs - performance.now();
			if (FINAL_JOB_STATES.has(newest.state) || leftMs <= 0) {
				return newest;
			}

			const waitMs = Math.min(leftMs, OWNER_WAIT_MS);
			const {jobId, failureDomain} = newest;
			const answered = await this.#ask(
				failureDomain,
				waitMs + PEER_CALL_TIMEOUT_MS,
				async local => local.waitForJob(failureDomain, jobId, waitMs),
				async (client, signal) => client.waitForJob.query({failureDomain, jobId, timeoutMs: waitMs}, {signal}),
			);
			if (answered) {
				newest = answered;
				continue;
			}

			await sleep(Math.min(POLL_INTERVAL_MS, Math.max(0, untilMs - performance.now())));
			const read = await this.#options.jobs.read(newest.spec.account, jobId);
			newest = read.ok ? read.value.row : newest;
		}
	}

	async #ask<Answer>(
		failureDomain: string,
		timeoutMs: number,
		askLocal: (local: PeerService) => Promise<Answer>,
		askPeer: PeerCall<Answer>,
	): Promise<Answer | undefined> {
		const {processId, ownerOf, local, peers} = this.#options;
		const owner = ownerOf(failureDomain);
		if (owner?.ownerId === processId) {
			return askLocal(local);
		}

		return owner && peers.call(owner.control, timeoutMs, askPeer);
	}
}
