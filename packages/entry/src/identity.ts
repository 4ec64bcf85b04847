import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from '@amaranthsail/core';
import {apiError, type ApiError} from './api-error.js';
import type {TokenTable} from './settings.js';

/** Kinds of callers. */
export type Role = 'account' | 'operator' | 'process';

/** Who sent a request. */
export type Identity = {
	readonly role: Role;
	/** Name of the client account or operator. */
	readonly name: string;
};

function digestOf(token: string): Uint8Array {
	return createHash('sha256').update(Buffer.from(token, 'utf8')).digest();
}

/** Finds out who sent a request by its bearer token. */
export class Authenticator {
	readonly #known: ReadonlyArray<{readonly digest: Uint8Array; readonly identity: Identity}>;

	/**
	 * @param accountTokens - Tokens of the client accounts.
	 * @param operatorTokens - Tokens of the operators.
	 * @param sharedSecret - The secret of the system's own processes.
	 */
	constructor(accountTokens: TokenTable, operatorTokens: TokenTable, sharedSecret: string) {
		this.#known = [
			...[...accountTokens].map(([name, token]) => ({digest: digestOf(token), identity: {role: 'account', name} as const})),
			...[...operatorTokens].map(([name, token]) => ({digest: digestOf(token), identity: {role: 'operator', name} as const})),
			{digest: digestOf(sharedSecret), identity: {role: 'process', name: 'system'}},
		];
	}

	/**
	 * Checks the `Authorization` header. Digests of equal length are compared with every known token,
	 * so the time taken tells nothing about a token.
	 *
	 * @param header - The header's value.
	 * @param role - The role that the request needs.
	 * @returns The identity, or `unauthorized` or `forbidden`.
	 */
	authenticate(header: string | undefined, role: Role): Result<Identity, ApiError> {
		const token = /^Bearer (?<token>\S+)$/v.exec(header ?? '')?.groups?.token;
		if (token === undefined) {
			return err(apiError('unauthorized', 'The Authorization header must be "Bearer TOKEN".'));
		}

		const digest = digestOf(token);
		let found: Identity | undefined;
		for (const {digest: known, identity} of this.#known) {
			if (timingSafeEqual(digest, known)) {
				found = identity;
			}
		}

		if (!found) {
			return err(apiError('unauthorized', 'The token is not known.'));
		}

		return found.role === role ? ok(found) : err(apiError('forbidden', `This call needs the token of an ${role}.`));
	}
}
