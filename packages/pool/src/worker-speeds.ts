import type {PaceSample} from './pace-observation.js';
import {
	classifySpeeds, type KnownSpeed, medianLogSpeed, MIN_KNOWN_WEIGHT, NO_CLASSES, type SpeedClasses,
} from './speed-classes.js';
import {
	inferSpeeds, StepEffects, UNKNOWN_SPEED, WorkerEvidence,
} from './speed-evidence.js';
import {TransientSlowness} from './transient-slowness.js';

/** Jobs of a burst begin within a second of each other, and the first gang shows the speeds of its workers. */
const REFRESH_INTERVAL_MS = 500;

/** Largest weight of what was known before a worker started again, and half of it is kept then. */
const MAX_KEPT_WEIGHT = 40;

/** Time after which the estimate of a VM that is gone is forgotten. */
const FORGET_AFTER_MS = 600_000;

/** A worker whose speed may be estimated. */
export type SpeedSubject = {readonly agent: string; readonly service: string};

/** Estimates of workers by agent: the logarithm of the speed, and the weight of its evidence. */
export type StoredSpeeds = Readonly<Record<string, readonly [number, number]>>;

type WorkerState = {readonly evidence: WorkerEvidence; incarnation: string; service: string; lastSeenMs: number};

/** Estimates how fast each worker VM is, relative to the median of its service, from the paces of its runs. */
export class WorkerSpeeds {
	readonly #minSpread: number;
	readonly #onSwitched: (service: string, classes: SpeedClasses) => void;
	readonly #workers = new Map<string, WorkerState>();
	readonly #steps = new StepEffects();
	readonly #transient = new TransientSlowness();
	readonly #classes = new Map<string, SpeedClasses>();
	readonly #medians = new Map<string, number>();
	#hasNewEvidence = false;
	#refreshDueMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param minSpread - Spread of a service's speeds from which they count.
	 * @param onSwitched - Called when they begin or cease to count.
	 */
	constructor(minSpread: number, onSwitched: (service: string, classes: SpeedClasses) => void = () => undefined) {
		this.#minSpread = minSpread;
		this.#onSwitched = onSwitched;
	}

	/** @param samples - Paces from one list of a worker. */
	observe(samples: readonly PaceSample[]): void {
		for (const sample of samples) {
			const progress = this.#transient.record(sample);
			if (!progress) {
				continue;
			}

			const worker = this.#stateOf(sample.agent, sample.asOfMs);
			if (worker.incarnation !== sample.incarnation) {
				if (worker.incarnation !== '') {
					worker.evidence.condense(Math.min(worker.evidence.weight, MAX_KEPT_WEIGHT) / 2);
				}

				worker.incarnation = sample.incarnation;
			}

			worker.evidence.add(sample, progress, () => this.#steps.of(sample.step));
			this.#hasNewEvidence = true;
		}
	}

	/**
	 * Infers the speeds from new evidence and the classes of the present workers, if that is due.
	 *
	 * @param nowMs - Leader's clock.
	 * @param listPresent - Lists the workers that are present.
	 */
	refresh(nowMs: number, listPresent: () => readonly SpeedSubject[]): void {
		if (this.#workers.size === 0 || nowMs < this.#refreshDueMs) {
			return;
		}

		this.#refreshDueMs = nowMs + REFRESH_INTERVAL_MS;
		const counts = new Map<string, number>();
		for (const {agent, service} of listPresent()) {
			counts.set(service, (counts.get(service) ?? 0) + 1);
			const worker = this.#workers.get(agent);
			if (worker) {
				worker.service = service;
				worker.lastSeenMs = nowMs;
			}
		}

		this.#forgetGone(nowMs);
		if (this.#hasNewEvidence) {
			this.#hasNewEvidence = false;
			inferSpeeds([...this.#workers.values()].map(({evidence}) => evidence));
		}

		// The workers of a service become known to a new leader one by one.
		for (const [service, count] of counts) {
			this.#classify(service, count);
		}
	}

	/**
	 * @param agent - Name of a worker's agent.
	 * @returns The worker's speed; 1 is the median of its service, and also stands for a worker that is not known yet.
	 */
	speedOf(agent: string): number {
		const worker = this.#workers.get(agent);
		return worker && worker.evidence.weight > 0 ? Math.exp(worker.evidence.belief.mean - (this.#medians.get(worker.service) ?? 0)) : 1;
	}

	/** @returns Share of the evidence that makes a worker known, from 0 to 1. */
	knownShareOf(agent: string): number {
		return Math.min(1, (this.#workers.get(agent)?.evidence.weight ?? 0) / MIN_KNOWN_WEIGHT);
	}

	/** @returns The share of its normal speed at which the worker is expected to run now. */
	transientFactorOf(agent: string, nowMs: number): number {
		return this.#transient.factorOf(agent, nowMs);
	}

	/** @returns The speed classes of a service. */
	classesOf(service: string): SpeedClasses {
		return this.#classes.get(service) ?? NO_CLASSES;
	}

	/**
	 * @param service - A service.
	 * @returns Speed of its median worker relative to the one that its callers' estimates assume.
	 */
	medianSpeedOf(service: string): number {
		return Math.exp(this.#medians.get(service) ?? 0);
	}

	/**
	 * Adopts what an earlier leader knew.
	 *
	 * @param stored - Its estimates.
	 * @param nowMs - Leader's clock.
	 */
	restore(stored: StoredSpeeds, nowMs: number): void {
		for (const [agent, [mean, weight]] of Object.entries(stored)) {
			this.#stateOf(agent, nowMs).evidence.adopt({mean, precision: UNKNOWN_SPEED.precision + Math.min(weight, MAX_KEPT_WEIGHT)});
			this.#hasNewEvidence = true;
		}
	}

	/** @returns The estimates of the workers with evidence, relative to the median of their service. */
	estimates(): StoredSpeeds {
		const estimates: Record<string, readonly [number, number]> = {};
		for (const [agent, {evidence, service}] of this.#workers) {
			if (evidence.weight > 0 && service !== '') {
				estimates[agent] = [evidence.belief.mean - (this.#medians.get(service) ?? 0), evidence.weight];
			}
		}

		return estimates;
	}

	/** @returns The classes of all services, by service. */
	allClasses(): ReadonlyMap<string, SpeedClasses> {
		return this.#classes;
	}

	#stateOf(agent: string, nowMs: number): WorkerState {
		let worker = this.#workers.get(agent);
		if (!worker) {
			worker = {
				evidence: new WorkerEvidence(), incarnation: '', service: '', lastSeenMs: nowMs,
			};
			this.#workers.set(agent, worker);
		}

		return worker;
	}

	#forgetGone(nowMs: number): void {
		for (const [agent, {lastSeenMs}] of this.#workers) {
			if (nowMs - lastSeenMs > FORGET_AFTER_MS) {
				this.#workers.delete(agent);
				this.#transient.forget(agent);
			}
		}
	}

	#classify(service: string, workerCount: number): void {
		const beliefs: KnownSpeed[] = [];
		for (const [agent, {evidence, service: ownService}] of this.#workers) {
			if (ownService === service && evidence.weight > 0) {
				beliefs.push({agent, logSpeed: evidence.belief.mean, weight: evidence.weight});
			}
		}

		const median = medianLogSpeed(beliefs);
		this.#medians.set(service, median);
		const wasActive = this.classesOf(service).isActive;
		const classes = classifySpeeds(beliefs.map(belief => ({...belief, logSpeed: belief.logSpeed - median})), workerCount, {minSpread: this.#minSpread, wasActive});
		this.#classes.set(service, classes);
		if (classes.isActive !== wasActive) {
			this.#onSwitched(service, classes);
		}
	}
}
