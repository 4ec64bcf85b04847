import {NeighbourChanges, type PaceChange, type WorkerReading} from './neighbour-changes.js';
import {PairEvidence} from './pair-evidence.js';

/** A pair of kinds that has been found or forgotten: runs of `kind` beside `neighbour` take `slowdown` times as long, and those of `neighbour` as well if it is mutual. */
export type InterferenceDecision = {
	readonly isFound: boolean;
	readonly kind: string;
	readonly neighbour: string;
	readonly isMutual: boolean;
	readonly slowdown: number;
	readonly weight: number;
	readonly workers: number;
};

/** Callers choose the names of images, so the number of pairs must be bounded; 26 kinds that run together have as many. */
const MAX_PAIRS = 1024;

const DECAY_INTERVAL_MS = 10_000;

/** Weight below which evidence is dropped. */
const MIN_WEIGHT = 0.2;

/** Changes of `kind` beside `neighbour`; of a mutual pair, also those of `neighbour` beside `kind`. */
type Pair = {readonly kind: string; readonly neighbour: string; readonly isMutual: boolean; readonly evidence: PairEvidence};

/**
 * Learns which kinds of work slow each other down on one worker.
 *
 * Changes count for their direction, since a kind may slow down another one and not be affected, and for both
 * directions together, which finds kinds that slow each other down in about half of the time.
 */
export class Interference {
	readonly #changes = new NeighbourChanges();
	readonly #pairs = new Map<string, Pair>();
	/** Slowdown of the pairs that are to be kept apart: by kind, the neighbours that slow it down. */
	readonly #found = new Map<string, Map<string, number>>();
	readonly #onDecision: (decision: InterferenceDecision) => void;
	#decayDueMs = 0;

	/** @param onDecision - Called when a pair is found or forgotten. */
	constructor(onDecision: (decision: InterferenceDecision) => void = () => undefined) {
		this.#onDecision = onDecision;
	}

	/** Number of pairs that are kept apart; a kind and its neighbour count for each direction. */
	get foundCount(): number {
		let count = 0;
		for (const neighbours of this.#found.values()) {
			count += neighbours.size;
		}

		return count;
	}

	/** Number of pairs with evidence. */
	get pairCount(): number {
		return this.#pairs.size;
	}

	/**
	 * @param reading - The newest lists of a worker.
	 */
	observe(reading: WorkerReading): void {
		const {atMs} = reading;
		for (const change of this.#changes.observe(reading)) {
			const {kind, neighbour} = change;
			this.#addChange(change, {kind, neighbour, isMutual: false}, atMs);
			if (kind !== neighbour) {
				this.#addChange(change, kind < neighbour ? {kind, neighbour, isMutual: true} : {kind: neighbour, neighbour: kind, isMutual: true}, atMs);
			}
		}

		if (atMs >= this.#decayDueMs) {
			this.#decayDueMs = atMs + DECAY_INTERVAL_MS;
			this.#decayAll(atMs);
		}
	}

	/**
	 * Estimates the cost of running a kind beside others.
	 *
	 * @param kind - The kind.
	 * @param neighbours - The kinds on the worker.
	 * @returns The sum of the additional run times of the kind and of its neighbours, as shares of their run times; 0 without a found pair.
	 */
	penaltyOf(kind: string, neighbours: Iterable<string>): number {
		if (this.#found.size === 0) {
			return 0;
		}

		let penalty = 0;
		for (const neighbour of new Set(neighbours)) {
			penalty += (this.#found.get(kind)?.get(neighbour) ?? 0) + (this.#found.get(neighbour)?.get(kind) ?? 0);
		}

		return penalty;
	}

	/**
	 * Counts the runs of a worker that a kind beside them slows down.
	 *
	 * @param kinds - Kinds of its runs.
	 * @returns Their number.
	 */
	countSlowed(kinds: readonly string[]): number {
		const counts = new Map<string, number>();
		for (const kind of kinds) {
			counts.set(kind, (counts.get(kind) ?? 0) + 1);
		}

		return kinds.filter(kind => [...this.#found.get(kind)?.keys() ?? []].some(neighbour => (counts.get(neighbour) ?? 0) > (neighbour === kind ? 1 : 0))).length;
	}

	#addChange(change: PaceChange, terms: Omit<Pair, 'evidence'>, nowMs: number): void {
		const key = JSON.stringify([terms.kind, terms.neighbour, terms.isMutual]);
		let pair = this.#pairs.get(key);
		if (!pair) {
			if (this.#pairs.size >= MAX_PAIRS) {
				this.#dropWeakestPair();
			}

			pair = {...terms, evidence: new PairEvidence()};
			this.#pairs.set(key, pair);
		}

		pair.evidence.add(change, nowMs);
		this.#decide(pair);
	}

	#decayAll(nowMs: number): void {
		for (const [key, pair] of this.#pairs) {
			pair.evidence.decay(nowMs);
			this.#decide(pair);
			if (pair.evidence.weight < MIN_WEIGHT) {
				this.#pairs.delete(key);
			}
		}

		this.#listFound();
	}

	#decide({kind, neighbour, isMutual, evidence}: Pair): void {
		if (!evidence.decide()) {
			return;
		}

		this.#listFound();
		this.#onDecision({
			isFound: evidence.isFound, kind, neighbour, isMutual, slowdown: Math.exp(evidence.slowdown), weight: evidence.weight, workers: evidence.workerCount,
		});
	}

	#listFound(): void {
		this.#found.clear();
		for (const {kind, neighbour, isMutual, evidence} of this.#pairs.values()) {
			if (evidence.isFound) {
				const extraShare = Math.exp(evidence.slowdown) - 1;
				this.#addFound(kind, neighbour, extraShare);
				if (isMutual) {
					this.#addFound(neighbour, kind, extraShare);
				}
			}
		}
	}

	#addFound(kind: string, neighbour: string, extraShare: number): void {
		const neighbours = this.#found.get(kind) ?? new Map<string, number>();
		this.#found.set(kind, neighbours.set(neighbour, Math.max(extraShare, neighbours.get(neighbour) ?? 0)));
	}

	#dropWeakestPair(): void {
		let weakest: string | undefined;
		let leastWeight = Number.POSITIVE_INFINITY;
		for (const [key, {evidence}] of this.#pairs) {
			if (!evidence.isFound && evidence.weight < leastWeight) {
				weakest = key;
				leastWeight = evidence.weight;
			}
		}

		this.#pairs.delete(weakest ?? '');
	}
}
