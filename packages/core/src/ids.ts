import {createHash, randomUUID} from 'node:crypto';

/**
 * Derives the id of a job. The same account and key give the same id on every entry,
 * so that two entries that accept one retried request meet on one row.
 *
 * @param account - The client account.
 * @param idempotencyKey - The caller's key.
 * @returns 32 hexadecimal digits.
 */
export function jobIdOf(account: string, idempotencyKey: string): string {
	return createHash('sha256').update(JSON.stringify([account, idempotencyKey])).digest('hex').slice(0, 32);
}

/**
 * Digests bytes or text.
 *
 * @param content - What to digest; text is taken as UTF-8.
 * @returns The SHA-256 digest in hexadecimal.
 */
export function sha256Of(content: Uint8Array | string): string {
	return createHash('sha256').update(content).digest('hex');
}

/**
 * Makes an id for a process, an incarnation or a write.
 *
 * @returns A random unique id.
 */
export function newId(): string {
	return randomUUID();
}
