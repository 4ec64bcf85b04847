import {Args} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {jobPath} from '../api-paths.js';
import {toObjectCommandResult, type CommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';
import {formatTable} from '../format-table.js';

/** Explanation of the scheduler in a response of the API. */
type ApiExplanation = {
	readonly state?: string;
	readonly position?: number;
	readonly summary?: string;
	readonly refusals?: ReadonlyArray<{readonly workerId: string; readonly because: string}>;
};

/** Explains why a job waits. */
export class ExplainCommand extends ApiCommand {
	static override description = 'Explains why a job waits: its queue position, and why each worker refuses it.';
	static override args = {id: Args.string({description: 'Id of the job.', required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ExplainCommand);
		return this.withClient(flags, async client => {
			const response = await client.send({method: 'GET', path: jobPath(args.id, '/explain'), readOnly: true});
			return toObjectCommandResult(response, formatExplanation);
		});
	}
}

function formatExplanation(body: Record<string, unknown>): CommandResult {
	const {state = '', position, summary = '', refusals = []} = body as ApiExplanation;
	const positionText = position === undefined ? '' : `, position ${position}`;
	const refusalTable = refusals.length === 0 ? [] : formatTable(['WORKER', 'REFUSED BY'], refusals.map(({workerId, because}) => [workerId, because]));
	return {exitCode: EXIT_CODES.done, json: body, lines: [`${state}${positionText}: ${summary}`, ...refusalTable]};
}
