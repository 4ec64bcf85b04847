/** Thrown when a checked property does not hold. */
export class Violation extends Error {
	override readonly name = 'Violation';
}

/**
 * Checks that a property holds.
 *
 * @param holds - Whether the property holds.
 * @param message - What was observed instead.
 * @throws Violation when it does not hold.
 */
export function check(holds: boolean, message: string): asserts holds {
	if (!holds) {
		throw new Violation(message);
	}
}
