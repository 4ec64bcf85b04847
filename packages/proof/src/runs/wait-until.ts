/** Time between two looks at the system. */
const POLL_INTERVAL_MS = 50;

/**
 * Pauses.
 *
 * @param durationMs - How long.
 */
export async function pause(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/**
 * Polls until something is there.
 *
 * @param what - Name of the awaited state, for the error.
 * @param timeoutMs - Longest wait.
 * @param look - Returns the value, or undefined when it is not there yet; what it throws counts as not there.
 * @returns The value.
 * @throws Error when the time is over, with the last error of `look`.
 */
export async function waitUntil<Value>(what: string, timeoutMs: number, look: () => Promise<Value | undefined>): Promise<Value> {
	const untilMs = performance.now() + timeoutMs;
	let lastError: unknown;
	do {
		try {
			const value = await look();
			if (value !== undefined) {
				return value;
			}

			lastError = undefined;
		} catch (error) {
			lastError = error;
		}

		await pause(POLL_INTERVAL_MS);
	} while (performance.now() < untilMs);

	const cause = lastError instanceof Error ? `: ${lastError.message}` : '';
	throw new Error(`${what} not seen within ${timeoutMs} ms${cause}`);
}
