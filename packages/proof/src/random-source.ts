import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Pseudorandom numbers, determined by a seed. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	/**
	 * @param seed - The seed.
	 */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * Draws an integer.
	 *
	 * @param min - Lower bound, inclusive.
	 * @param max - Upper bound, inclusive.
	 * @returns A number from `min` to `max`.
	 */
	integer(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/**
	 * Draws a boolean.
	 *
	 * @param percent - Probability of true, in percent.
	 * @returns The boolean.
	 */
	chance(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}
}
