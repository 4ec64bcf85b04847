import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Numbers that depend on a seed alone. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	/**
	 * @param seed - The seed.
	 */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * Draws a whole number.
	 *
	 * @param low - The smallest.
	 * @param high - The largest.
	 * @returns A number from `low` to `high`.
	 */
	integer(low: number, high: number): number {
		return uniformInt(this.#generator, low, high);
	}

	/**
	 * Draws a yes or no.
	 *
	 * @param percent - How often it is yes.
	 * @returns True in that share of the draws.
	 */
	chance(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}
}
