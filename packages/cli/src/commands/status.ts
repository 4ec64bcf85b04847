import {ApiCommand} from '../api-command.js';
import {objectResultOf, type CommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';
import {formatTable} from '../format-table.js';

/** What a process reports about itself through the API. */
type EntryStatus = {
	readonly processId: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
	/** Revision in force in the entry. */
	readonly revision: number;
	readonly ready: boolean;
	/** Whether it answered the entry that was asked. */
	readonly answers: boolean;
	readonly owned: ReadonlyArray<{readonly failureDomain: string}>;
	/** Workers of the failure domains it owns, with the revision in force there. */
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly failureDomain: string; readonly revision: number}>;
};

type StatusBody = {
	readonly entries?: readonly EntryStatus[];
	readonly lowestRevisionInForce?: number;
	readonly highestRevisionInForce?: number;
};

/** Shows each process and the revision in force. */
export class StatusCommand extends ApiCommand {
	static override description = 'Shows each process and the configuration revision in force there.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(StatusCommand);
		return this.withClient(flags, async client => objectResultOf(await client.send({method: 'GET', path: '/v1/status', readOnly: true}), showStatus));
	}
}

function showStatus(body: Record<string, unknown>): CommandResult {
	const {entries = [], lowestRevisionInForce: lowest, highestRevisionInForce: highest} = body as StatusBody;
	const rows = entries.flatMap(entry => [
		[
			'entry',
			entry.processId,
			`${entry.host}:${entry.port}`,
			entry.failureDomain,
			String(entry.revision),
			stateOf(entry),
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

function stateOf({ready, answers}: EntryStatus): string {
	if (!answers) {
		return 'no answer';
	}

	return ready ? 'ready' : 'not ready';
}
