import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from '@amaranthsail/core';
import {apiError, type ApiError} from './api-error.js';
import type {TokenTable} from './settings.js';

/** Roles of the callers of the API. */
export type Role = 'account' | 'operator' | 'process';

/** Authenticated sender of a request. */
export type Identity = {
	readonly role: Role;
	/** Name of the client account or operator; `system` for a process. */
	readonly name: string;
};

function digestOf(token: string): Uint8Array {
	return createHash('sha256').update(Buffer.from(token, 'utf8')).digest();
}

/** Authenticates requests by their bearer token. */
export class Authenticator {
	readonly #credentials: ReadonlyArray<{readonly digest: Uint8Array; readonly identity: Identity}>;

	/**
	 * @param accountTokens - Tokens of the client accounts.
	 * @param operatorTokens - Tokens of the operators.
	 * @param sharedSecret - The secret that the system's processes share.
	 */
	constructor(accountTokens: TokenTable, operatorTokens: TokenTable, sharedSecret: string) {
		this.#credentials = [
			...[...accountTokens].map(([name, token]) => ({digest: digestOf(token), identity: {role: 'account', name} as const})),
			...[...operatorTokens].map(([name, token]) => ({digest: digestOf(token), identity: {role: 'operator', name} as const})),
			{digest: digestOf(sharedSecret), identity: {role: 'process', name: 'system'}},
		];
	}

	/**
	 * Checks the `Authorization` header. The token's digest is compared with the digest of every known token, all of
	 * equal length and in constant time, so that the duration reveals nothing about a token.
	 *
	 * @param header - The header's value.
	 * @param role - The role that the request requires.
	 * @returns The identity, or `unauthorized` or `forbidden`.
	 */
	authenticate(header: string | undefined, role: Role): Result<Identity, ApiError> {
		const token = /^Bearer (?<token>\S+)$/v.exec(header ?? '')?.groups?.token;
		if (token === undefined) {
			return err(apiError('unauthorized', 'The Authorization header must be "Bearer TOKEN".'));
		}

		const digest = digestOf(token);
		let matchedIdentity: Identity | undefined;
		for (const {digest: knownDigest, identity} of this.#credentials) {
			if (timingSafeEqual(digest, knownDigest)) {
				matchedIdentity = identity;
			}
		}

		if (!matchedIdentity) {
			return err(apiError('unauthorized', 'The token is not known.'));
		}

		return matchedIdentity.role === role ? ok(matchedIdentity) : err(apiError('forbidden', `This call needs the token of an ${role}.`));
	}
}
