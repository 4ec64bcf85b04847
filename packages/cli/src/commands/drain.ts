import {Args} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {toCommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';

/** Process ids are random UUIDs; no failure domain has such a name. */
const PROCESS_ID_PATTERN = /^[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}$/iv;

/** Drains a failure domain or an entry process. */
export class DrainCommand extends ApiCommand {
	static override description = 'Hands a failure domain to another entry, or shuts an entry down gracefully; running work continues.';
	static override args = {target: Args.string({description: 'Name of a failure domain, or id of a process.', required: true})};

	async run(): Promise<unknown> {
		const {args: {target}, flags} = await this.parse(DrainCommand);
		const body = PROCESS_ID_PATTERN.test(target) ? {processId: target} : {failureDomain: target};
		return this.withClient(flags, async client => {
			const response = await client.send({
				method: 'POST', path: '/v1/drain', body, readOnly: false,
			});
			return toCommandResult(response, json => ({exitCode: EXIT_CODES.done, json: json ?? body, lines: [`${target}: draining`]}));
		});
	}
}
