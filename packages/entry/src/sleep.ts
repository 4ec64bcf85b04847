/**
 * Waits for a time.
 *
 * @param durationMs - The time in milliseconds.
 */
export async function sleep(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}
