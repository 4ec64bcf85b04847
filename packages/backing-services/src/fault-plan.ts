import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from '@amaranthsail/core';

/**
 * Kinds of faults of one operation. After `lost_before_effect`, `lost_after_effect` and `late` the caller gets no response;
 * a `late` change takes effect when {@link FaultPlan.applyLateChanges} is called. `stale_read` and `truncated` apply to reads, `duplicated` to changes.
 */
export const FAULT_KINDS = [
	'none', 'unavailable', 'lost_before_effect', 'lost_after_effect', 'late', 'stale_read', 'truncated', 'duplicated',
] as const;

/** One of {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** The fault of one operation. */
export type Fault = {
	readonly kind: FaultKind;
	/** Delay before the effect, in milliseconds; a client may time out meanwhile. */
	readonly delayMs?: number;
};

/** An operation for which a fault is chosen. */
export type FaultOperation = {
	readonly service: 'tables' | 'objects' | 'worker';
	/** Name of the method of the service's interface. */
	readonly operation: string;
	/** Key, table or task of the operation; the write id of a transaction. */
	readonly key: string;
	/** Whether the operation changes anything. */
	readonly hasEffect: boolean;
	/** Number of the operation since the plan was created, from 1. */
	readonly sequence: number;
};

/** Chooses the fault of an operation; supplied by a test or the fuzzer. */
export type ChooseFault = (operation: FaultOperation) => Fault;

/** Errors that a fault can cause in every service. */
export type FaultError
	= | {readonly kind: 'unavailable'; readonly message: string}
		| {readonly kind: 'outcome_unknown'; readonly message: string};

const NO_FAULT: Fault = {kind: 'none'};

function chooseNone(): Fault {
	return NO_FAULT;
}

async function waitFor(delayMs: number): Promise<void> {
	await sleep(delayMs);
}

/** Injects faults into the operations of an in-memory service. */
export class FaultPlan {
	#choose: ChooseFault;
	#sequence = 0;
	#lateEffects: Array<() => void> = [];
	readonly #wait: (delayMs: number) => Promise<void>;

	/**
	 * @param choose - Chooses the fault of each operation; no faults by default.
	 * @param wait - Waits for a number of milliseconds; a real timer by default.
	 */
	constructor(choose: ChooseFault = chooseNone, wait: (delayMs: number) => Promise<void> = waitFor) {
		this.#choose = choose;
		this.#wait = wait;
	}

	/**
	 * Replaces the function that chooses the faults, from the next operation on.
	 *
	 * @param choose - Chooses the fault of each operation.
	 */
	use(choose: ChooseFault): void {
		this.#choose = choose;
	}

	/** Ends all faults. */
	clear(): void {
		this.#choose = chooseNone;
	}

	/**
	 * Applies the late changes in the order in which they were sent. Their results are not reported to any caller.
	 *
	 * @returns The number of applied changes.
	 */
	applyLateChanges(): number {
		const lateEffects = this.#lateEffects;
		this.#lateEffects = [];
		for (const effect of lateEffects) {
			effect();
		}

		return lateEffects.length;
	}

	/**
	 * Runs an operation with the fault chosen for it. Without a delay, the effect is applied before the promise is returned.
	 *
	 * @param operation - The operation, without its sequence number.
	 * @param effect - Performs the operation synchronously; called once, twice for a duplicated change, or not at all.
	 * @returns The result of the effect, or the error that the fault causes. A lost read is `unavailable`, as it has no effect.
	 */
	async run<Value, Failure>(
		operation: Omit<FaultOperation, 'sequence'>,
		effect: (fault: Fault) => Result<Value, Failure>,
	): Promise<Result<Value, Failure | FaultError>> {
		this.#sequence += 1;
		const fault = this.#choose({...operation, sequence: this.#sequence});
		if (fault.kind === 'unavailable') {
			return {ok: false, error: {kind: 'unavailable', message: 'the service refuses all requests'}};
		}

		if (fault.delayMs !== undefined && fault.delayMs > 0) {
			await this.#wait(fault.delayMs);
		}

		if (fault.kind === 'lost_before_effect') {
			return failLost(operation, 'the request was lost');
		}

		if (fault.kind === 'late') {
			this.#lateEffects.push(() => {
				effect(fault);
			});
			return failLost(operation, 'the request is still under way');
		}

		if (fault.kind === 'duplicated' && operation.hasEffect) {
			effect(fault);
		}

		const result = effect(fault);
		return fault.kind === 'lost_after_effect' ? failLost(operation, 'the answer was lost') : result;
	}
}

function failLost(operation: Omit<FaultOperation, 'sequence'>, message: string): {readonly ok: false; readonly error: FaultError} {
	return {ok: false, error: {kind: operation.hasEffect ? 'outcome_unknown' : 'unavailable', message}};
}
