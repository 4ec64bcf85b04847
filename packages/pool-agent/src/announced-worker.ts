import {WORKER_STATES, type WorkerFacts} from '@amaranthsail/pool';
import {HeartbeatSequence} from './heartbeat-sequence.js';

/** A worker that does not drain and answers for this time after a deregistration hasn't sent it. */
const MAX_ANSWERS_AFTER_LEAVE_MS = 2000;

/** Number of incarnations that have left and are still reported. */
const MAX_LEFT_INCARNATIONS = 8;

/** What a heartbeat has changed. */
export const HEARTBEAT_EFFECTS = {
	taken: 'taken',
	/** The incarnation becomes the known one once the worker itself has confirmed it. */
	held: 'held',
	outOfOrder: 'out of order',
} as const;

/** A value of {@link HEARTBEAT_EFFECTS}. */
export type HeartbeatEffect = typeof HEARTBEAT_EFFECTS[keyof typeof HEARTBEAT_EFFECTS];

/** An incarnation that a heartbeat has named. */
export type KnownWorker = {
	readonly facts: WorkerFacts;
	readonly sequence: HeartbeatSequence;
	readonly startedAtMs: number;
	/** Agent's clock at its newest heartbeat. */
	readonly receivedAtMs: number;
	/** Whether the worker itself has answered as this incarnation. */
	readonly isConfirmed: boolean;
};

type Leave = {
	readonly incarnation: string;
	readonly atMs: number;
	/** Whether the worker had announced it by draining. */
	readonly isExpected: boolean;
};

/**
 * The incarnation of the worker that its heartbeats name.
 *
 * Anybody may send a heartbeat or a deregistration. What the worker answers on its own port decides which incarnation
 * is there: another one is only held until the worker has answered as that one.
 */
export class AnnouncedWorker {
	#known: KnownWorker | undefined;
	#held: KnownWorker | undefined;
	#leave: Leave | undefined;
	/** The known incarnation has deregistered and refuses connections; whether it has ended is not known. */
	#isDeparting = false;
	/** Start time in the worker's newest lists; those of earlier releases have none. */
	#listedStartMs: number | undefined;
	#hasListsWithoutStart = false;
	#leftIncarnations: readonly string[] = [];

	/** The incarnation that calls to the worker are meant for. */
	get known(): KnownWorker | undefined {
		return this.#known;
	}

	/**
	 * Names of the last incarnations that have deregistered and do not answer any more. Those before the known one have been
	 * replaced; whether the known one has ended is not known.
	 */
	get leftIncarnations(): readonly string[] {
		return this.#isDeparting ? [...this.#leftIncarnations, this.#known!.facts.life] : this.#leftIncarnations;
	}

	/** Whether the known incarnation has deregistered and refuses connections. Its lease must not be renewed. */
	get isDeparting(): boolean {
		return this.#isDeparting;
	}

	/** The known incarnation if the worker has answered as that one and is not departing. */
	get confirmed(): KnownWorker | undefined {
		return this.#known?.isConfirmed && !this.#isDeparting ? this.#known : undefined;
	}

	/**
	 * Processes a heartbeat.
	 *
	 * @param facts - State and capacity in the heartbeat.
	 * @param sequence - Its number within the incarnation.
	 * @param startedAtMs - Start time of the incarnation.
	 * @param receivedAtMs - Agent's clock.
	 * @returns What it has changed.
	 */
	onHeartbeat(facts: WorkerFacts, sequence: number, startedAtMs: number, receivedAtMs: number): HeartbeatEffect {
		const [known, held] = [this.#known, this.#held];
		const previous = [known, held].find(worker => worker?.facts.life === facts.life);
		if (previous && !previous.sequence.take(sequence, receivedAtMs)) {
			return HEARTBEAT_EFFECTS.outOfOrder;
		}

		const isListed = this.#listedStartMs === startedAtMs && !(known?.isConfirmed && known.startedAtMs === startedAtMs);
		const worker: KnownWorker = {
			facts,
			sequence: previous?.sequence ?? new HeartbeatSequence(sequence, receivedAtMs),
			startedAtMs,
			receivedAtMs,
			isConfirmed: previous?.isConfirmed ?? (isListed && (known === undefined || known.facts.id === facts.id)),
		};
		if (!known || previous === known || isListed) {
			this.#setKnown(worker);
			return HEARTBEAT_EFFECTS.taken;
		}

		if (this.#hasListsWithoutStart) {
			if (startedAtMs < known.startedAtMs) {
				return HEARTBEAT_EFFECTS.outOfOrder;
			}

			this.#setKnown({...worker, isConfirmed: true});
			return HEARTBEAT_EFFECTS.taken;
		}

		this.#held = worker;
		return HEARTBEAT_EFFECTS.held;
	}

	/**
	 * Processes an answer of the worker with its lists.
	 *
	 * @param startedAtMs - Start time in the lists.
	 * @param expectedId - Id that the call was meant for.
	 * @param nowMs - Agent's clock.
	 */
	onLists(startedAtMs: number | undefined, expectedId: string | undefined, nowMs: number): void {
		this.#listedStartMs = startedAtMs;
		this.#hasListsWithoutStart = startedAtMs === undefined;
		const isAnswering = (worker: KnownWorker | undefined): worker is KnownWorker =>
			worker !== undefined && worker.facts.id === expectedId && (startedAtMs === undefined || worker.startedAtMs === startedAtMs);
		if (isAnswering(this.#known)) {
			this.#isDeparting = false;
			this.#known = this.#known.isConfirmed ? this.#known : {...this.#known, isConfirmed: true};
			if (this.#leave && !this.#leave.isExpected && nowMs - this.#leave.atMs > MAX_ANSWERS_AFTER_LEAVE_MS) {
				this.#leave = undefined;
			}
		} else if (isAnswering(this.#held)) {
			this.#setKnown({...this.#held, isConfirmed: true});
		}
	}

	/**
	 * Processes a deregistration. It does not show that the worker has ended: a worker that gets no acknowledgement in time
	 * goes on for some seconds, and the call may have been waiting while this process or its VM was paused. A deregistration
	 * that a draining worker sends is expected; others may be late ones of an earlier incarnation.
	 *
	 * @param workerId - Id of the worker.
	 * @param startedAtMs - Start time of the incarnation that leaves, if the call names it.
	 * @param nowMs - Agent's clock.
	 */
	onLeave(workerId: string, startedAtMs: number | undefined, nowMs: number): void {
		const known = this.#known;
		if (known?.facts.id === workerId && (startedAtMs ?? known.startedAtMs) === known.startedAtMs) {
			this.#leave = {incarnation: known.facts.life, atMs: nowMs, isExpected: known.isConfirmed && known.facts.state === WORKER_STATES.draining};
		}
	}

	/**
	 * Processes the refusal of a connection to the worker's port. After a deregistration it suggests that the worker has
	 * ended, but a link may refuse connections to a worker that goes on.
	 */
	onRefused(): void {
		this.#isDeparting ||= this.#known !== undefined && this.#leave?.incarnation === this.#known.facts.life;
	}

	/**
	 * Processes the answer that another worker than the expected one is there.
	 *
	 * @param absentId - Id of the expected worker.
	 * @returns The incarnation that has left, if it has deregistered before.
	 */
	onOtherWorker(absentId: string | undefined): string | undefined {
		const known = this.#known;
		if (!known || known.facts.id !== absentId) {
			return undefined;
		}

		const leftIncarnation = this.#leave?.incarnation === known.facts.life ? this.#removeKnown(known) : undefined;
		if (this.#held && this.#held.facts.id !== absentId) {
			this.#setKnown(this.#held);
		}

		return leftIncarnation;
	}

	#setKnown(worker: KnownWorker): void {
		const previous = this.#known;
		if (previous && previous.facts.life !== worker.facts.life) {
			// Another incarnation has taken its place, so its end is no crash if it had announced it.
			if (this.#leave?.incarnation === previous.facts.life && (this.#leave.isExpected || this.#isDeparting)) {
				this.#recordLeft(previous.facts.life);
			}

			this.#isDeparting = false;
		}

		this.#known = worker;
		if (this.#held?.facts.life === worker.facts.life) {
			this.#held = undefined;
		}
	}

	#removeKnown(known: KnownWorker): string {
		this.#known = undefined;
		this.#isDeparting = false;
		this.#recordLeft(known.facts.life);
		return known.facts.life;
	}

	#recordLeft(incarnation: string): void {
		this.#leave = undefined;
		this.#leftIncarnations = [...this.#leftIncarnations, incarnation].slice(-MAX_LEFT_INCARNATIONS);
	}
}
