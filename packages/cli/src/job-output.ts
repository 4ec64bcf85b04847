import type {CommandResult} from './command-result.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';
import {formatTable} from './format-table.js';

/** A job in a response of the API; entries may send more fields. */
export type ApiJob = {
	readonly jobId: string;
	readonly state: string;
	readonly outcome?: string;
	readonly service?: string;
	readonly operation?: string;
	readonly failureDomain?: string;
	readonly attempt?: number;
	/** Answer of the job; present if the request waited for its end. */
	readonly answer?: unknown;
	/** Time by which the job is or was past its deadline. */
	readonly lateByMs?: number;
	readonly reason?: {readonly code: string; readonly message: string};
};

const EXIT_CODE_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
	failed: EXIT_CODES.refused,
	not_run: EXIT_CODES.refused,
	unknown: EXIT_CODES.unknownOutcome,
};

/**
 * Formats one job. The exit code follows the outcome that the service reports.
 *
 * @param body - The response body.
 * @returns The result.
 */
export function formatJob(body: Record<string, unknown>): CommandResult {
	const job = body as ApiJob;
	if (!job.jobId) {
		return {exitCode: EXIT_CODES.unknownOutcome, json: body, lines: ['the entry answered without a job id; repeating the request is safe']};
	}

	const details = Object.entries({
		outcome: job.outcome, service: job.service, operation: job.operation, failureDomain: job.failureDomain, attempt: job.attempt, lateByMs: job.lateByMs,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name} ${value}`);
	return {
		exitCode: EXIT_CODE_BY_OUTCOME[job.outcome ?? ''] ?? EXIT_CODES.done,
		json: body,
		lines: [
			[`${job.jobId}  ${job.state}`, ...details].join('  '),
			...(job.reason ? [`${job.reason.code}: ${job.reason.message}`] : []),
			...(job.answer === undefined ? [] : [JSON.stringify(job.answer)]),
		],
	};
}

/**
 * Formats a list of jobs.
 *
 * @param body - The response body.
 * @returns The result.
 */
export function formatJobs(body: Record<string, unknown>): CommandResult {
	const {jobs = []} = body as {jobs?: readonly ApiJob[]};
	const rows = jobs.map(job => [job.jobId, job.state, job.outcome ?? '', job.service ?? '', job.operation ?? '', job.failureDomain ?? '']);
	return {exitCode: EXIT_CODES.done, json: body, lines: formatTable(['JOB', 'STATE', 'OUTCOME', 'SERVICE', 'OPERATION', 'FAILURE DOMAIN'], rows)};
}
