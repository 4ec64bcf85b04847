import type {CommandResult} from './command-result.js';
import {EXIT_CODES} from './exit-code.js';

/**
 * Shows an accepted submit or withdrawal.
 *
 * @param body - The body of the API.
 * @returns The result; unknown when the body is not one of the API.
 */
export function showAccepted(body: Record<string, unknown>): CommandResult {
	const {revision, changed} = body as {revision?: number; changed?: boolean};
	if (revision === undefined) {
		return {exitCode: EXIT_CODES.unknownOutcome, json: body, lines: ['the entry answered without a revision; repeating the request is safe']};
	}

	return {exitCode: EXIT_CODES.done, json: body, lines: [changed ? `accepted as revision ${revision}` : `unchanged at revision ${revision}`]};
}
