import type {JobRow} from '@amaranthsail/core';
import type {OwnerHost} from '@amaranthsail/owner';
import type {GuaranteeAlarm} from '@amaranthsail/scheduler';
import type {PeerService, PeerStatus} from './peer-router.js';

/** Dependencies of {@link LocalPeerService}. */
export type LocalPeerServiceOptions = {
	readonly processId: string;
	/** Undefined until the process has started. */
	readonly ownerHost: () => OwnerHost | undefined;
	readonly revision: () => number;
	readonly alarms: () => readonly GuaranteeAlarm[];
	/** Starts the graceful shutdown of this process. */
	readonly shutDown: () => void;
};

/** The calls between entries as this entry executes them, for other entries and for itself when it is the owner. */
export class LocalPeerService implements PeerService {
	readonly #options: LocalPeerServiceOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: LocalPeerServiceOptions) {
		this.#options = options;
	}

	async notify(failureDomain: string, jobIds: readonly string[]): Promise<boolean> {
		const driver = this.#options.ownerHost()?.driverOf(failureDomain);
		driver?.notify(jobIds);
		return driver !== undefined;
	}

	async waitForJob(failureDomain: string, jobId: string, timeoutMs: number): Promise<JobRow | undefined> {
		return this.#options.ownerHost()?.driverOf(failureDomain)?.waitForJob(jobId, timeoutMs);
	}

	async cancel(failureDomain: string, jobIds: readonly string[]): Promise<boolean> {
		const driver = this.#options.ownerHost()?.driverOf(failureDomain);
		if (!driver) {
			return false;
		}

		const rows = await driver.cancel(jobIds);
		return rows.every(row => row !== undefined);
	}

	async explain(failureDomain: string, jobId: string): Promise<unknown> {
		return this.#options.ownerHost()?.driverOf(failureDomain)?.explain(jobId);
	}

	async stepDown(failureDomain: string, epoch: number): Promise<boolean> {
		return await this.#options.ownerHost()?.stepDown(failureDomain, epoch) ?? true;
	}

	async drain(failureDomain: string | undefined): Promise<void> {
		if (failureDomain === undefined) {
			this.#options.shutDown();
			return;
		}

		await this.#options.ownerHost()?.release(failureDomain);
	}

	async status(): Promise<PeerStatus> {
		const {processId, revision, ownerHost, alarms} = this.#options;
		const drivers = ownerHost()?.drivers() ?? [];
		return {
			processId,
			revision: revision(),
			owned: drivers.map(driver => ({failureDomain: driver.failureDomain, epoch: driver.status().epoch})),
			alarms: alarms(),
			workers: drivers.flatMap(driver => driver.status().workerRevisions.map(worker => ({
				workerId: worker.workerId,
				failureDomain: driver.failureDomain,
				revision: worker.revisionInForce,
			}))),
		};
	}
}
