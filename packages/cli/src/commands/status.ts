import {ApiCommand} from '../api-command.js';
import {toObjectCommandResult, type CommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';
import {formatTable} from '../format-table.js';

/** Status of an entry process in a response of the API. */
type EntryStatus = {
	readonly processId: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
	/** Configuration revision in force in the entry. */
	readonly revision: number;
	readonly ready: boolean;
	/** Whether it responded to the entry that served the request. */
	readonly answers: boolean;
	readonly owned: ReadonlyArray<{readonly failureDomain: string}>;
	/** Workers of the failure domains that it owns, with the configuration revision in force there. */
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly failureDomain: string; readonly revision: number}>;
};

type StatusBody = {
	readonly entries?: readonly EntryStatus[];
	readonly lowestRevisionInForce?: number;
	readonly highestRevisionInForce?: number;
};

/** Shows each process with its configuration revision in force. */
export class StatusCommand extends ApiCommand {
	static override description = 'Shows each process with its configuration revision in force.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(StatusCommand);
		return this.withClient(flags, async client => toObjectCommandResult(await client.send({method: 'GET', path: '/v1/status', readOnly: true}), formatStatus));
	}
}

function formatStatus(body: Record<string, unknown>): CommandResult {
	const {entries = [], lowestRevisionInForce: lowest, highestRevisionInForce: highest} = body as StatusBody;
	const rows = entries.flatMap(entry => [
		[
			'entry',
			entry.processId,
			`${entry.host}:${entry.port}`,
			entry.failureDomain,
			String(entry.revision),
			formatState(entry),
			entry.owned.map(({failureDomain}) => failureDomain).join(', '),
		],
		...entry.workers.map(({workerId, failureDomain, revision}) => ['agent', workerId, '', failureDomain, String(revision)]),
	]);
	return {
		exitCode: EXIT_CODES.done,
		json: body,
		lines: [
			lowest === highest ? `revision ${highest} in force everywhere` : `revisions ${lowest} to ${highest} in force`,
			...formatTable(['PROGRAM', 'PROCESS', 'ADDRESS', 'FAILURE DOMAIN', 'REVISION', 'STATE', 'OWNS'], rows),
		],
	};
}

function formatState({ready, answers}: EntryStatus): string {
	if (!answers) {
		return 'no answer';
	}

	return ready ? 'ready' : 'not ready';
}
