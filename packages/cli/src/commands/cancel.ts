import {FINAL_JOB_STATES, type JobState} from '@amaranthsail/core';
import {Args} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {jobPath} from '../api-paths.js';
import {toCommandResult, type CommandResult} from '../command-result.js';
import {EXIT_CODES, worstExitCode} from '../exit-code.js';

/** Cancels jobs. */
export class CancelCommand extends ApiCommand {
	static override description = 'Cancels jobs; running ones are stopped first.';
	static override strict = false;
	static override args = {ids: Args.string({description: 'Ids of jobs.', required: true})};

	async run(): Promise<unknown> {
		const {argv, flags} = await this.parse(CancelCommand);
		return this.withClient(flags, async client => {
			const results: Array<{readonly jobId: string} & CommandResult> = [];
			for (const jobId of argv as string[]) {
				const response = await client.send({method: 'DELETE', path: jobPath(jobId), readOnly: false});
				results.push({jobId, ...toCommandResult(response, body => formatCancellation(body))});
			}

			return {
				exitCode: worstExitCode(results.map(result => result.exitCode)),
				json: {results: results.map(({jobId, exitCode, json}) => ({jobId, exitCode, answer: json}))},
				lines: results.flatMap(({jobId, lines}) => lines.map((line, index) => index === 0 ? `${jobId}: ${line}` : line)),
			};
		});
	}
}

/** Formats the reported state; a running job is cancelled only after it has stopped. */
function formatCancellation(body: unknown): CommandResult {
	const {state} = (body ?? {}) as {state?: JobState};
	if (state !== undefined && state !== 'cancelled' && FINAL_JOB_STATES.has(state)) {
		return {exitCode: EXIT_CODES.done, json: body, lines: [`not cancelled, already ${state}`]};
	}

	return {exitCode: EXIT_CODES.done, json: body ?? null, lines: [state === undefined ? 'cancel accepted' : `cancel accepted, state ${state}`]};
}
