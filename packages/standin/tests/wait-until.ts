import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Waits until a condition holds, checking it every 10 ms.
 *
 * @param condition - The condition.
 * @param timeoutMs - Longest wait in milliseconds.
 * @throws Error when the condition does not hold within the timeout.
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs = 5000): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`the condition did not hold within ${timeoutMs} ms`);
		}

		await sleep(10);
	}
}
