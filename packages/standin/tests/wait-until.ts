import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Waits until a condition holds, looking every 10 ms.
 *
 * @param condition - The condition.
 * @param limitMs - Longest wait in milliseconds.
 * @throws Error when the condition does not hold within the limit.
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, limitMs = 5000): Promise<void> {
	const endMs = performance.now() + limitMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`the condition did not hold within ${limitMs} ms`);
		}

		await sleep(10);
	}
}
