import {Args, Flags} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {jobPath} from '../api-paths.js';
import {toObjectCommandResult} from '../command-result.js';
import {formatJob} from '../job-output.js';

/** Shows one job. */
export class JobCommand extends ApiCommand {
	static override description = 'Shows a job; the exit code follows its outcome.';
	static override args = {id: Args.string({description: 'Id of the job.', required: true})};
	static override flags = {
		'wait-ms': Flags.integer({description: 'Longest wait for the job to finish, in milliseconds.', min: 0}),
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(JobCommand);
		const waitMs = flags['wait-ms'];
		return this.withClient(flags, async client => {
			const path = jobPath(args.id, waitMs === undefined ? '' : `?waitMs=${waitMs}`);
			return toObjectCommandResult(await client.send({
				method: 'GET', path, waitMs, readOnly: true,
			}), formatJob);
		});
	}
}
