import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator. */
export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	/**
	 * @param seed - Seed; equal seeds give equal sequences.
	 */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Draws a uniformly distributed number from 0 up to but not including 1. */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * Draws an exponentially distributed number, such as the time between independent arrivals.
	 *
	 * @param mean - The mean.
	 * @returns The number.
	 */
	nextExponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	/**
	 * Draws a log-normally distributed number, such as a run time.
	 *
	 * @param mean - The mean.
	 * @param sigma - Standard deviation of the logarithm.
	 * @returns The number.
	 */
	nextLogNormal(mean: number, sigma: number): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
		return mean * Math.exp((sigma * normal) - (sigma * sigma / 2));
	}

	/**
	 * Draws an item with a probability proportional to its weight.
	 *
	 * @param items - The weighted items.
	 * @returns The drawn item.
	 */
	pickWeighted<Item extends {readonly weight: number}>(items: readonly Item[]): Item {
		let totalWeight = 0;
		for (const {weight} of items) {
			totalWeight += weight;
		}

		let remaining = this.next() * totalWeight;
		for (const item of items) {
			remaining -= item.weight;
			if (remaining < 0) {
				return item;
			}
		}

		return items.at(-1)!;
	}
}
