/** A required property that does not hold. */
export class Violation extends Error {
	override readonly name = 'Violation';
}

/**
 * Checks a required property.
 *
 * @param holds - Whether it holds.
 * @param message - What was seen instead.
 * @throws Violation when it does not hold.
 */
export function check(holds: boolean, message: string): asserts holds {
	if (!holds) {
		throw new Violation(message);
	}
}
