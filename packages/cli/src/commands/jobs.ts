import {ApiCommand} from '../api-command.js';
import {toObjectCommandResult} from '../command-result.js';
import {formatJobs} from '../job-output.js';

/** Lists the jobs of the caller's account. */
export class JobsCommand extends ApiCommand {
	static override description = 'Lists the jobs of the account.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(JobsCommand);
		return this.withClient(flags, async client => toObjectCommandResult(await client.send({method: 'GET', path: '/v1/jobs', readOnly: true}), formatJobs));
	}
}
