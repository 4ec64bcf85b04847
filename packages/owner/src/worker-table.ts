import {
	FENCE_MARGIN_MS, LEASE_EXTENSION_LIMIT_MS, TASK_LEASE_MS, WORKER_SUSPECT_MS, type Heartbeat, type WorkerFacts,
} from '@amaranthsail/core';

/** What is known of one run of an agent. */
type Incarnation = {
	/** Receipt of the last heartbeat that this owner acknowledged; undefined before the first. */
	ackedAtMs: number | undefined;
	/** The agent has seen this owner's epoch, so it no longer takes messages of an earlier owner. */
	confirmed: boolean;
	/** Highest sequence received. */
	sequence: number;
	/** A newer incarnation has taken over. */
	superseded: boolean;
};

/** A worker and the agent beside it. */
export type WorkerRecord = {
	readonly workerId: string;
	host: string;
	port: number;
	incarnation: string;
	facts: WorkerFacts | undefined;
	heardAtMs: number;
	leaving: boolean;
	usable: boolean;
	/** Configuration revision that the agent last reported as in force. */
	revisionInForce: number;
	readonly incarnations: Map<string, Incarnation>;
};

/** What a heartbeat means for the worker table. */
export type HeartbeatStanding
	/** From the current incarnation and not older than the last one. */
	= | 'current'
	/** From the current incarnation, received after a later one. */
		| 'reordered'
	/** From an incarnation that is not yet confirmed while another one is current. */
		| 'candidate'
	/** From an incarnation that was replaced. */
		| 'superseded';

/** Incarnations remembered per worker, so that delayed datagrams of earlier ones are recognized. */
const MAX_INCARNATIONS = 16;

/** Workers of one failure domain, their agents' incarnations, and the fence of each. */
export class WorkerTable {
	readonly #workers = new Map<string, WorkerRecord>();
	readonly #epoch: number;
	readonly #claimedAtMs: number;
	#previousGoneAtMs: number | undefined;
	#firstHeardAtMs: number | undefined;

	/**
	 * @param epoch - The owner's epoch.
	 * @param claimedAtMs - When the failure domain was claimed, in monotonic milliseconds.
	 */
	constructor(epoch: number, claimedAtMs: number) {
		this.#epoch = epoch;
		this.#claimedAtMs = claimedAtMs;
	}

	/** Receipt of the first heartbeat from any agent, in monotonic milliseconds; undefined before. */
	get firstHeardAtMs(): number | undefined {
		return this.#firstHeardAtMs;
	}

	/**
	 * Finds a worker.
	 *
	 * @param workerId - The worker.
	 * @returns Its record, or undefined when it was never heard.
	 */
	get(workerId: string): WorkerRecord | undefined {
		return this.#workers.get(workerId);
	}

	/**
	 * Lists all workers.
	 *
	 * @returns The records in the order of their first heartbeat.
	 */
	all(): Iterable<WorkerRecord> {
		return this.#workers.values();
	}

	/**
	 * Drops a worker.
	 *
	 * @param workerId - The worker.
	 */
	delete(workerId: string): void {
		this.#workers.delete(workerId);
	}

	/**
	 * Notes that the previous owner sends nothing more. Leases that it granted end one lease after this moment, not after
	 * the claim: it may have acknowledged heartbeats in between.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 */
	previousOwnerGone(nowMs: number): void {
		this.#previousGoneAtMs ??= nowMs;
	}

	/**
	 * Takes over sender, sequence and facts of a heartbeat.
	 *
	 * @param heartbeat - The heartbeat.
	 * @param host - The sender's address.
	 * @param nowMs - Time of receipt in monotonic milliseconds.
	 * @returns The worker and what the heartbeat counts for.
	 */
	receive(heartbeat: Heartbeat, host: string, nowMs: number): {readonly worker: WorkerRecord; readonly standing: HeartbeatStanding} {
		const worker = this.#workers.get(heartbeat.workerId) ?? this.#add(heartbeat, host, nowMs);
		const sender = this.#incarnationOf(worker, heartbeat.incarnation);
		sender.confirmed ||= heartbeat.epoch === this.#epoch;
		if (sender.superseded) {
			return {worker, standing: 'superseded'};
		}

		if (heartbeat.incarnation !== worker.incarnation) {
			// A delayed first datagram of an earlier agent looks the same as one of a new agent;
			// only the new one can echo this owner's epoch.
			if (!sender.confirmed) {
				sender.sequence = Math.max(sender.sequence, heartbeat.sequence);
				return {worker, standing: 'candidate'};
			}

			this.#incarnationOf(worker, worker.incarnation).superseded = true;
			worker.incarnation = heartbeat.incarnation;
			worker.facts = undefined;
		}

		if (heartbeat.sequence < sender.sequence) {
			return {worker, standing: 'reordered'};
		}

		sender.sequence = heartbeat.sequence;
		worker.host = host;
		worker.port = heartbeat.replyPort;
		worker.revisionInForce = heartbeat.revisionInForce;
		worker.heardAtMs = nowMs;
		worker.leaving = heartbeat.leaving;
		worker.facts = heartbeat.facts ?? worker.facts;
		return {worker, standing: 'current'};
	}

	/**
	 * Notes that a heartbeat received now is acknowledged.
	 *
	 * @param worker - The worker.
	 * @param incarnation - The sender.
	 * @param nowMs - Time of receipt in monotonic milliseconds.
	 */
	acknowledged(worker: WorkerRecord, incarnation: string, nowMs: number): void {
		this.#incarnationOf(worker, incarnation).ackedAtMs = nowMs;
	}

	/**
	 * Tells whether the agent has echoed this owner's epoch.
	 *
	 * @param worker - The worker.
	 * @param incarnation - The agent's incarnation.
	 * @returns True when it takes no messages of an earlier owner.
	 */
	isConfirmed(worker: WorkerRecord, incarnation: string): boolean {
		return worker.incarnations.get(incarnation)?.confirmed ?? false;
	}

	/**
	 * Tells whether a worker has been silent for too long to get work.
	 *
	 * @param worker - The worker.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True after {@link WORKER_SUSPECT_MS} without a heartbeat.
	 */
	isSuspect(worker: WorkerRecord, nowMs: number): boolean {
		return nowMs - worker.heardAtMs >= WORKER_SUSPECT_MS;
	}

	/**
	 * Tells when tasks of an incarnation have certainly stopped if nothing more is heard of it.
	 *
	 * @param workerId - The worker.
	 * @param incarnation - The incarnation that prepared the tasks.
	 * @returns Monotonic milliseconds.
	 */
	fenceAtMs(workerId: string, incarnation: string): number {
		const lastGrantMs = this.#previousGoneAtMs ?? this.#claimedAtMs + LEASE_EXTENSION_LIMIT_MS;
		const known = this.#workers.get(workerId)?.incarnations.get(incarnation);
		const ackedAtMs = known?.ackedAtMs ?? Number.NEGATIVE_INFINITY;
		const lastMs = known?.confirmed && known.ackedAtMs !== undefined ? ackedAtMs : Math.max(ackedAtMs, lastGrantMs);
		return lastMs + TASK_LEASE_MS + FENCE_MARGIN_MS;
	}

	#add(heartbeat: Heartbeat, host: string, nowMs: number): WorkerRecord {
		this.#firstHeardAtMs ??= nowMs;
		const worker: WorkerRecord = {
			workerId: heartbeat.workerId, host, port: heartbeat.replyPort, incarnation: heartbeat.incarnation, facts: undefined,
			heardAtMs: nowMs, leaving: heartbeat.leaving, usable: false, revisionInForce: heartbeat.revisionInForce, incarnations: new Map(),
		};
		this.#workers.set(worker.workerId, worker);
		return worker;
	}

	#incarnationOf(worker: WorkerRecord, incarnation: string): Incarnation {
		const known = worker.incarnations.get(incarnation);
		if (known !== undefined) {
			return known;
		}

		const added: Incarnation = {
			ackedAtMs: undefined, confirmed: false, sequence: 0, superseded: false,
		};
		worker.incarnations.set(incarnation, added);
		for (const [oldest, {ackedAtMs}] of worker.incarnations) {
			if (worker.incarnations.size <= MAX_INCARNATIONS) {
				break;
			}

			// An incarnation whose lease may still run is kept, because its fence is computed from here.
			const isFenced = (ackedAtMs ?? 0) + TASK_LEASE_MS + FENCE_MARGIN_MS < worker.heardAtMs;
			if (oldest !== worker.incarnation && oldest !== incarnation && isFenced) {
				worker.incarnations.delete(oldest);
			}
		}

		return added;
	}
}
