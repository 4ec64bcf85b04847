import type {ListedEnd} from '@amaranthsail/pool';

/** Numbers of ends that are neither listed nor acknowledged. */
export type EndGap = {readonly first: number; readonly last: number};

/** Follows the numbers of one incarnation's ends, which start at 1. */
export class EndNumbers {
	#acknowledgedUpTo = 0;
	#reportedUpTo = 0;
	#isFirstListKnown: boolean;

	/** @param isSeenFromStart - False if earlier acknowledgements are unknown, as after a restart of the agent. */
	constructor(isSeenFromStart: boolean) {
		this.#isFirstListKnown = isSeenFromStart;
	}

	/** Highest number that was sent as acknowledged; 0 before the first one. */
	get acknowledgedUpTo(): number {
		return this.#acknowledgedUpTo;
	}

	/**
	 * Records an acknowledgement that is being sent.
	 *
	 * @param sequence - The number up to which ends are acknowledged.
	 * @returns Whether the number is higher than those of before.
	 */
	recordSent(sequence: number): boolean {
		const isHigher = sequence > this.#acknowledgedUpTo;
		this.#acknowledgedUpTo = Math.max(this.#acknowledgedUpTo, sequence);
		return isHigher;
	}

	/**
	 * Looks for ends that were forgotten without an acknowledgement of this agent.
	 *
	 * @param ended - The listed ends, in any order.
	 * @returns The first gap that has not been returned before, if there is one.
	 */
	findGap(ended: readonly ListedEnd[]): EndGap | undefined {
		const numbers = ended.map(end => end.sequence).toSorted((left, right) => left - right);
		if (numbers.length === 0) {
			return undefined;
		}

		if (!this.#isFirstListKnown) {
			this.#isFirstListKnown = true;
			this.#reportedUpTo = numbers[0]! - 1;
		}

		let expected = Math.max(this.#acknowledgedUpTo, this.#reportedUpTo) + 1;
		for (const number of numbers) {
			if (number > expected) {
				this.#reportedUpTo = number - 1;
				return {first: expected, last: number - 1};
			}

			expected = Math.max(expected, number + 1);
		}

		return undefined;
	}
}
