import {
	FENCE_MARGIN_MS, MAX_DEGRADED_LEASE_RENEWAL_MS, TASK_LEASE_MS, WORKER_SUSPECT_TIMEOUT_MS, type Heartbeat, type WorkerFacts,
} from '@amaranthsail/core';

/** State of one incarnation of an agent. */
type Incarnation = {
	/** When the last heartbeat acknowledged by this owner was received; undefined before the first. */
	lastAckedAtMs: number | undefined;
	/** Whether the agent has echoed this owner's epoch, so that it ignores messages of an earlier owner. */
	isConfirmed: boolean;
	/** Highest sequence received. */
	sequence: number;
	/** Whether a newer incarnation has replaced it. */
	isSuperseded: boolean;
};

/** A worker and its agent. */
export type WorkerRecord = {
	readonly workerId: string;
	host: string;
	port: number;
	incarnation: string;
	facts: WorkerFacts | undefined;
	lastHeartbeatAtMs: number;
	isLeaving: boolean;
	isUsable: boolean;
	/** Configuration revision that the agent last reported as in force. */
	revisionInForce: number;
	readonly incarnations: Map<string, Incarnation>;
};

/** How a heartbeat relates to the known incarnations of its worker. */
export type HeartbeatStatus
	/** From the current incarnation and not older than the latest one. */
	= | 'current'
	/** From the current incarnation, received after a later one. */
		| 'reordered'
	/** From an unconfirmed incarnation while another one is current. */
		| 'candidate'
	/** From an incarnation that was replaced. */
		| 'superseded';

/** Incarnations to remember per worker, so that delayed datagrams of earlier ones are recognized. */
const MAX_INCARNATIONS = 16;

/** Workers of one failure domain, the incarnations of their agents, and the fence of each incarnation. */
export class WorkerTable {
	readonly #workers = new Map<string, WorkerRecord>();
	readonly #epoch: number;
	readonly #claimedAtMs: number;
	#previousOwnerGoneAtMs: number | undefined;
	#firstHeartbeatAtMs: number | undefined;

	/**
	 * @param epoch - The owner's epoch.
	 * @param claimedAtMs - When the failure domain was claimed, in monotonic milliseconds.
	 */
	constructor(epoch: number, claimedAtMs: number) {
		this.#epoch = epoch;
		this.#claimedAtMs = claimedAtMs;
	}

	/** When the first heartbeat from any agent was received, in monotonic milliseconds; undefined before. */
	get firstHeartbeatAtMs(): number | undefined {
		return this.#firstHeartbeatAtMs;
	}

	/**
	 * Finds a worker.
	 *
	 * @param workerId - The worker.
	 * @returns Its record, or undefined when no heartbeat of it is known.
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
	 * Removes a worker.
	 *
	 * @param workerId - The worker.
	 */
	delete(workerId: string): void {
		this.#workers.delete(workerId);
	}

	/**
	 * Records that the previous owner sends nothing more. Leases that it granted end one lease time after this call, not
	 * after the claim: it may have acknowledged heartbeats in between.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 */
	markPreviousOwnerGone(nowMs: number): void {
		this.#previousOwnerGoneAtMs ??= nowMs;
	}

	/**
	 * Records sender, sequence and facts of a heartbeat.
	 *
	 * @param heartbeat - The heartbeat.
	 * @param host - The sender's address.
	 * @param nowMs - Time of receipt in monotonic milliseconds.
	 * @returns The worker and the status of the heartbeat.
	 */
	recordHeartbeat(heartbeat: Heartbeat, host: string, nowMs: number): {readonly worker: WorkerRecord; readonly status: HeartbeatStatus} {
		const worker = this.#workers.get(heartbeat.workerId) ?? this.#addWorker(heartbeat, host, nowMs);
		const senderIncarnation = this.#incarnationOf(worker, heartbeat.incarnation);
		senderIncarnation.isConfirmed ||= heartbeat.epoch === this.#epoch;
		if (senderIncarnation.isSuperseded) {
			return {worker, status: 'superseded'};
		}

		if (heartbeat.incarnation !== worker.incarnation) {
			// A delayed first datagram of an earlier incarnation looks like one of a new incarnation;
			// only the new one can echo this owner's epoch.
			if (!senderIncarnation.isConfirmed) {
				senderIncarnation.sequence = Math.max(senderIncarnation.sequence, heartbeat.sequence);
				return {worker, status: 'candidate'};
			}

			this.#incarnationOf(worker, worker.incarnation).isSuperseded = true;
			worker.incarnation = heartbeat.incarnation;
			worker.facts = undefined;
		}

		if (heartbeat.sequence < senderIncarnation.sequence) {
			return {worker, status: 'reordered'};
		}

		senderIncarnation.sequence = heartbeat.sequence;
		worker.host = host;
		worker.port = heartbeat.replyPort;
		worker.revisionInForce = heartbeat.revisionInForce;
		worker.lastHeartbeatAtMs = nowMs;
		worker.isLeaving = heartbeat.leaving;
		worker.facts = heartbeat.facts ?? worker.facts;
		return {worker, status: 'current'};
	}

	/**
	 * Records that a heartbeat received now is acknowledged.
	 *
	 * @param worker - The worker.
	 * @param incarnation - The sender's incarnation.
	 * @param nowMs - Time of receipt in monotonic milliseconds.
	 */
	recordAcknowledgement(worker: WorkerRecord, incarnation: string, nowMs: number): void {
		this.#incarnationOf(worker, incarnation).lastAckedAtMs = nowMs;
	}

	/**
	 * Returns whether the agent has echoed this owner's epoch.
	 *
	 * @param worker - The worker.
	 * @param incarnation - The agent's incarnation.
	 * @returns True when it ignores messages of an earlier owner.
	 */
	isConfirmed(worker: WorkerRecord, incarnation: string): boolean {
		return worker.incarnations.get(incarnation)?.isConfirmed ?? false;
	}

	/**
	 * Returns whether a worker has been silent for too long to get new work.
	 *
	 * @param worker - The worker.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True after {@link WORKER_SUSPECT_TIMEOUT_MS} without a heartbeat.
	 */
	isSuspected(worker: WorkerRecord, nowMs: number): boolean {
		return nowMs - worker.lastHeartbeatAtMs >= WORKER_SUSPECT_TIMEOUT_MS;
	}

	/**
	 * Computes when tasks of an incarnation have certainly stopped if no further heartbeat of it arrives.
	 *
	 * @param workerId - The worker.
	 * @param incarnation - The incarnation that prepared the tasks.
	 * @returns Monotonic milliseconds.
	 */
	fenceAtMs(workerId: string, incarnation: string): number {
		const lastPossibleGrantAtMs = this.#previousOwnerGoneAtMs ?? this.#claimedAtMs + MAX_DEGRADED_LEASE_RENEWAL_MS;
		const knownIncarnation = this.#workers.get(workerId)?.incarnations.get(incarnation);
		const lastAckedAtMs = knownIncarnation?.lastAckedAtMs ?? Number.NEGATIVE_INFINITY;
		const lastLeaseStartAtMs = knownIncarnation?.isConfirmed && knownIncarnation.lastAckedAtMs !== undefined ? lastAckedAtMs : Math.max(lastAckedAtMs, lastPossibleGrantAtMs);
		return lastLeaseStartAtMs + TASK_LEASE_MS + FENCE_MARGIN_MS;
	}

	#addWorker(heartbeat: Heartbeat, host: string, nowMs: number): WorkerRecord {
		this.#firstHeartbeatAtMs ??= nowMs;
		const worker: WorkerRecord = {
			workerId: heartbeat.workerId, host, port: heartbeat.replyPort, incarnation: heartbeat.incarnation, facts: undefined,
			lastHeartbeatAtMs: nowMs, isLeaving: heartbeat.leaving, isUsable: false, revisionInForce: heartbeat.revisionInForce, incarnations: new Map(),
		};
		this.#workers.set(worker.workerId, worker);
		return worker;
	}

	#incarnationOf(worker: WorkerRecord, incarnation: string): Incarnation {
		const knownIncarnation = worker.incarnations.get(incarnation);
		if (knownIncarnation !== undefined) {
			return knownIncarnation;
		}

		const newIncarnation: Incarnation = {
			lastAckedAtMs: undefined, isConfirmed: false, sequence: 0, isSuperseded: false,
		};
		worker.incarnations.set(incarnation, newIncarnation);
		for (const [oldest, {lastAckedAtMs}] of worker.incarnations) {
			if (worker.incarnations.size <= MAX_INCARNATIONS) {
				break;
			}

			// An incarnation whose lease may not have expired is kept, because its fence is computed from this record.
			const isFenced = (lastAckedAtMs ?? 0) + TASK_LEASE_MS + FENCE_MARGIN_MS < worker.lastHeartbeatAtMs;
			if (oldest !== worker.incarnation && oldest !== incarnation && isFenced) {
				worker.incarnations.delete(oldest);
			}
		}

		return newIncarnation;
	}
}
