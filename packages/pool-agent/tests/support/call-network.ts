import type {VirtualTime} from './virtual-time.js';

/** Kinds of calls, by what is called. */
export const CALLS = {
	renewal: 'renewal', start: 'start', stop: 'stop', watch: 'watch', order: 'order', heartbeat: 'heartbeat',
} as const;

/** One of {@link CALLS}. */
export type CallKind = (typeof CALLS)[keyof typeof CALLS];

/** What happens to a call. A call that is carried out after its caller's timeout has no answer. */
export type CallFate = {
	/** Time until it is carried out; absent if it is lost. */
	readonly requestMs?: number;
	/** Time from then until its answer arrives; absent if the answer is lost. */
	readonly answerMs?: number;
};

/** Chooses the fate of a call. */
export type ChooseFate = (kind: CallKind) => CallFate;

const PROMPT: CallFate = {requestMs: 1, answerMs: 1};

/** Carries calls, each with its own delays: a later call may be carried out, or answered, before an earlier one. */
export class CallNetwork {
	/** Chooses the fate of the next call. */
	chooseFate: ChooseFate;

	readonly #time: VirtualTime;

	/** @param time - Source of time. */
	constructor(time: VirtualTime) {
		this.#time = time;
		this.chooseFate = () => PROMPT;
	}

	/**
	 * Changes the fates of the calls for some time; a later change replaces an earlier one.
	 *
	 * @param chooseFate - Chooses the fate of each call.
	 * @param forMs - Time until calls are prompt again.
	 */
	setFates(chooseFate: ChooseFate, forMs: number): void {
		this.chooseFate = chooseFate;
		this.#time.after(forMs, () => {
			if (this.chooseFate === chooseFate) {
				this.chooseFate = () => PROMPT;
			}
		});
	}

	/**
	 * Makes a call.
	 *
	 * @param kind - Kind of the call.
	 * @param timeoutMs - Time for which the caller waits for the answer.
	 * @param carryOut - Carries it out; gives no answer if it returns undefined.
	 * @returns The answer; undefined if none arrived in time.
	 */
	async call<Answer>(kind: CallKind, timeoutMs: number, carryOut: () => Promise<Answer | undefined>): Promise<Answer | undefined> {
		const {requestMs, answerMs} = this.chooseFate(kind);
		return new Promise(resolve => {
			this.#time.after(timeoutMs, () => {
				resolve(undefined);
			});
			if (requestMs !== undefined) {
				this.#time.after(requestMs, () => {
					void this.#answer(carryOut, answerMs, resolve);
				});
			}
		});
	}

	async #answer<Answer>(carryOut: () => Promise<Answer | undefined>, answerMs: number | undefined, resolve: (answer: Answer | undefined) => void): Promise<void> {
		const answer = await carryOut();
		if (answer !== undefined && answerMs !== undefined) {
			this.#time.after(answerMs, () => {
				resolve(answer);
			});
		}
	}
}
