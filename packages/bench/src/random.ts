import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random numbers. */
export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	/**
	 * @param seed - Equal seeds give equal numbers.
	 */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A number from 0 up to but not including 1. */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * Draws a waiting time between independent arrivals.
	 *
	 * @param mean - The mean.
	 * @returns An exponentially distributed number.
	 */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	/**
	 * Draws a run time.
	 *
	 * @param mean - The mean.
	 * @param sigma - Spread of the logarithm.
	 * @returns A log-normally distributed number.
	 */
	logNormal(mean: number, sigma: number): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
		return mean * Math.exp((sigma * normal) - (sigma * sigma / 2));
	}

	/**
	 * Picks an item by weight.
	 *
	 * @param items - Items with weights.
	 * @returns One of them.
	 */
	pick<Item extends {readonly weight: number}>(items: readonly Item[]): Item {
		let total = 0;
		for (const {weight} of items) {
			total += weight;
		}

		let left = this.next() * total;
		for (const item of items) {
			left -= item.weight;
			if (left < 0) {
				return item;
			}
		}

		return items.at(-1)!;
	}
}
