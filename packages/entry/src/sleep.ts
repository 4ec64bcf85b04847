/**
 * Waits.
 *
 * @param durationMs - How long, in milliseconds.
 */
export async function sleep(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}
