import {createHash, randomUUID} from 'node:crypto';

/**
 * Derives the id of a job. Every entry derives the same id from the same account and key,
 * so two entries that accept the same retried request write the same row.
 *
 * @param account - The client account.
 * @param idempotencyKey - The caller's idempotency key.
 * @returns 32 hexadecimal digits.
 */
export function jobIdOf(account: string, idempotencyKey: string): string {
	return createHash('sha256').update(JSON.stringify([account, idempotencyKey])).digest('hex').slice(0, 32);
}

/**
 * Hashes bytes or text.
 *
 * @param content - The content to hash; text is encoded as UTF-8.
 * @returns The SHA-256 digest in hexadecimal.
 */
export function sha256Of(content: Uint8Array | string): string {
	return createHash('sha256').update(content).digest('hex');
}

/**
 * Generates an id for a process, an incarnation or a write.
 *
 * @returns A random unique id.
 */
export function newId(): string {
	return randomUUID();
}
