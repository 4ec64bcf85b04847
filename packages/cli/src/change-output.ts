import type {CommandResult} from './command-result.js';
import {EXIT_CODES} from './exit-code.js';

/**
 * Formats an accepted submission or withdrawal of a record.
 *
 * @param body - The response body.
 * @returns The result; its outcome is unknown if the body has no revision.
 */
export function formatAcceptedChange(body: Record<string, unknown>): CommandResult {
	const {revision, changed} = body as {revision?: number; changed?: boolean};
	if (revision === undefined) {
		return {exitCode: EXIT_CODES.unknownOutcome, json: body, lines: ['the entry answered without a revision; repeating the request is safe']};
	}

	return {exitCode: EXIT_CODES.done, json: body, lines: [changed ? `accepted as revision ${revision}` : `unchanged at revision ${revision}`]};
}
