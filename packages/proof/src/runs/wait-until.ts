const POLL_INTERVAL_MS = 50;

/**
 * Waits for a fixed time.
 *
 * @param durationMs - The time in milliseconds.
 */
export async function sleep(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/**
 * Polls until a value is available.
 *
 * @param description - The awaited state, for the error message.
 * @param timeoutMs - Longest wait.
 * @param poll - Returns the value, or undefined when it is not available yet; an error counts as not available.
 * @returns The value.
 * @throws Error after the timeout, with the message of the error that the last call of `poll` threw.
 */
export async function waitUntil<Value>(description: string, timeoutMs: number, poll: () => Promise<Value | undefined>): Promise<Value> {
	const deadlineMs = performance.now() + timeoutMs;
	let lastError: unknown;
	do {
		try {
			const value = await poll();
			if (value !== undefined) {
				return value;
			}

			lastError = undefined;
		} catch (error) {
			lastError = error;
		}

		await sleep(POLL_INTERVAL_MS);
	} while (performance.now() < deadlineMs);

	const cause = lastError instanceof Error ? `: ${lastError.message}` : '';
	throw new Error(`${description} not reached within ${timeoutMs} ms${cause}`);
}
