import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from '@amaranthsail/core';

/**
 * What can go wrong with one operation. `lost_before_effect`, `lost_after_effect` and `late` give no answer;
 * a `late` change takes effect when {@link FaultPlan.landLate} is called. `stale_read` and `truncated` apply to reads, `duplicated` to changes.
 */
export const FAULT_KINDS = [
	'none', 'unavailable', 'lost_before_effect', 'lost_after_effect', 'late', 'stale_read', 'truncated', 'duplicated',
] as const;

/** One of {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** The fault of one operation. */
export type Fault = {
	readonly kind: FaultKind;
	/** Delay before the effect, in milliseconds; a client may time out before it ends. */
	readonly delayMs?: number;
};

/** An operation as the plan sees it. */
export type FaultOperation = {
	readonly service: 'tables' | 'objects' | 'worker';
	/** Name of the interface's method. */
	readonly operation: string;
	/** Key, table or task of the operation; for a transaction its write id. */
	readonly key: string;
	/** Whether the operation changes anything. */
	readonly hasEffect: boolean;
	/** Number of the operation since the plan was made, from 1. */
	readonly sequence: number;
};

/** Picks the fault of an operation. Injected, so that a test or the fuzzer decides. */
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

/** Decides for each operation of an in-memory service whether and how it fails. */
export class FaultPlan {
	#choose: ChooseFault;
	#sequence = 0;
	#late: Array<() => void> = [];
	readonly #wait: (delayMs: number) => Promise<void>;

	/**
	 * @param choose - Picks the fault of each operation; none by default.
	 * @param wait - Waits for a number of milliseconds; a real timer by default.
	 */
	constructor(choose: ChooseFault = chooseNone, wait: (delayMs: number) => Promise<void> = waitFor) {
		this.#choose = choose;
		this.#wait = wait;
	}

	/**
	 * Replaces the choice of faults from the next operation on.
	 *
	 * @param choose - Picks the fault of each operation.
	 */
	use(choose: ChooseFault): void {
		this.#choose = choose;
	}

	/** Ends all faults. */
	clear(): void {
		this.#choose = chooseNone;
	}

	/**
	 * Lets late changes take effect, in the order in which they were sent. Nobody learns their results.
	 *
	 * @returns The number of late changes.
	 */
	landLate(): number {
		const late = this.#late;
		this.#late = [];
		for (const effect of late) {
			effect();
		}

		return late.length;
	}

	/**
	 * Runs an operation under the fault that is due for it. Without a delay the effect happens before the call returns its promise.
	 *
	 * @param operation - The operation, without its sequence number.
	 * @param effect - Does the operation at once; called never, once, or twice for a duplicate.
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
			return lost(operation, 'the request was lost');
		}

		if (fault.kind === 'late') {
			this.#late.push(() => {
				effect(fault);
			});
			return lost(operation, 'the request is still under way');
		}

		if (fault.kind === 'duplicated' && operation.hasEffect) {
			effect(fault);
		}

		const result = effect(fault);
		return fault.kind === 'lost_after_effect' ? lost(operation, 'the answer was lost') : result;
	}
}

function lost(operation: Omit<FaultOperation, 'sequence'>, message: string): {readonly ok: false; readonly error: FaultError} {
	return {ok: false, error: {kind: operation.hasEffect ? 'outcome_unknown' : 'unavailable', message}};
}
