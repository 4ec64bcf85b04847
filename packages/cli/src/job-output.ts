import type {CommandResult} from './command-result.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';
import {formatTable} from './format-table.js';

/** What the API shows of a job; entries may add fields. */
export type JobView = {
	readonly jobId: string;
	readonly state: string;
	readonly outcome?: string;
	readonly service?: string;
	readonly operation?: string;
	readonly failureDomain?: string;
	readonly attempt?: number;
	/** The answer, when the request waited for the end of the job. */
	readonly answer?: unknown;
	/** Time by which the job is late. */
	readonly lateByMs?: number;
	readonly reason?: {readonly code: string; readonly message: string};
};

const EXIT_CODE_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
	failed: EXIT_CODES.refused,
	not_run: EXIT_CODES.refused,
	unknown: EXIT_CODES.unknownOutcome,
};

/**
 * Shows one job. The exit code follows the outcome that the service reported.
 *
 * @param body - The body of the API.
 * @returns The result.
 */
export function showJob(body: Record<string, unknown>): CommandResult {
	const job = body as JobView;
	if (!job.jobId) {
		return {exitCode: EXIT_CODES.unknownOutcome, json: body, lines: ['the entry answered without a job id; repeating the request is safe']};
	}

	const facts = Object.entries({
		outcome: job.outcome, service: job.service, operation: job.operation, failureDomain: job.failureDomain, attempt: job.attempt, lateByMs: job.lateByMs,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name} ${value}`);
	return {
		exitCode: EXIT_CODE_BY_OUTCOME[job.outcome ?? ''] ?? EXIT_CODES.done,
		json: body,
		lines: [
			[`${job.jobId}  ${job.state}`, ...facts].join('  '),
			...(job.reason ? [`${job.reason.code}: ${job.reason.message}`] : []),
			...(job.answer === undefined ? [] : [JSON.stringify(job.answer)]),
		],
	};
}

/**
 * Shows several jobs.
 *
 * @param body - The body of the API.
 * @returns The result.
 */
export function showJobs(body: Record<string, unknown>): CommandResult {
	const {jobs = []} = body as {jobs?: readonly JobView[]};
	const rows = jobs.map(job => [job.jobId, job.state, job.outcome ?? '', job.service ?? '', job.operation ?? '', job.failureDomain ?? '']);
	return {exitCode: EXIT_CODES.done, json: body, lines: formatTable(['JOB', 'STATE', 'OUTCOME', 'SERVICE', 'OPERATION', 'FAILURE DOMAIN'], rows)};
}
