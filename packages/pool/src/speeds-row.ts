import {asFields} from '@amaranthsail/core';
import type {PoolContext} from './pool-context.js';
import {LEADER_KEY, type SpeedsRow, TABLES} from './rows.js';
import type {StoredSpeeds} from './worker-speeds.js';

/** The row is a cache for the next leader, which learns again what it lacks. */
const WRITE_INTERVAL_MS = 10_000;

/** Change of a speed that is worth a write. */
const MIN_CHANGE = Math.log(1.05);

/** Bounds the row, whose JSON text may have 256 KiB; an entry takes about 40 bytes. */
const MAX_STORED_WORKERS = 4000;

/** Speeds differ by less than this; anything else was not written by a leader. */
const MAX_LOG_SPEED = 3;

/** Stores the estimates of the workers' speeds for the next leader. */
export class SpeedsRowWriter {
	readonly #context: PoolContext;
	#stored: StoredSpeeds = {};
	#dueMs: number;

	/** @param context - State of the pool. */
	constructor(context: PoolContext) {
		this.#context = context;
		this.#dueMs = context.takenOverAtMs + WRITE_INTERVAL_MS;
	}

	/** Stores the estimates if speeds count in any service and one estimate has moved since the last write. */
	tick(): void {
		const nowMs = this.#context.nowMs();
		if (nowMs < this.#dueMs) {
			return;
		}

		this.#dueMs = nowMs + WRITE_INTERVAL_MS;
		const workers = this.#context.speeds.estimates();
		const isActive = [...this.#context.speeds.allClasses().values()].some(classes => classes.isActive);
		if (!isActive || !hasMoved(this.#stored, workers)) {
			return;
		}

		const row: SpeedsRow = {workers: encode(workers)};
		this.#context.commits.enqueue([{table: TABLES.speeds, key: LEADER_KEY, value: row}], () => {
			this.#stored = workers;
		});
	}
}

function hasMoved(stored: StoredSpeeds, workers: StoredSpeeds): boolean {
	return Object.entries(workers).some(([agent, [logSpeed]]) => {
		const before = stored[agent];
		return before === undefined || Math.abs(before[0] - logSpeed) >= MIN_CHANGE;
	});
}

function encode(workers: StoredSpeeds): StoredSpeeds {
	const entries = Object.entries(workers).toSorted(([, [, left]], [, [, right]]) => right - left).slice(0, MAX_STORED_WORKERS);
	return Object.fromEntries(entries.map(([agent, [logSpeed, weight]]) => [agent, [Number(logSpeed.toFixed(3)), Number(weight.toFixed(1))]]));
}

/**
 * Decodes the row of the speeds table.
 *
 * @param value - Decoded JSON of the row.
 * @returns The row without invalid entries, or undefined when it cannot be read.
 */
export function decodeSpeedsRow(value: unknown): SpeedsRow | undefined {
	const {workers} = asFields(value);
	if (typeof workers !== 'object' || workers === null || Array.isArray(workers)) {
		return undefined;
	}

	return {workers: Object.fromEntries(Object.entries(workers).filter((entry): entry is [string, readonly [number, number]] => isEstimate(entry[1])))};
}

function isEstimate(entry: unknown): entry is readonly [number, number] {
	return Array.isArray(entry) && entry.length === 2 && entry.every(value => typeof value === 'number' && Number.isFinite(value))
		&& Math.abs(Number(entry[0])) <= MAX_LOG_SPEED && Number(entry[1]) >= 0;
}
