import {ApiCommand} from '../api-command.js';
import {objectResultOf, type CommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';
import {formatTable} from '../format-table.js';

/** A process as the API reports it; entries may add fields. */
type ProcessStatus = {
	readonly processId: string;
	readonly program?: string;
	readonly address?: string;
	readonly failureDomain?: string;
	/** Revision in force in the process. */
	readonly revision?: number;
	readonly state?: string;
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
	const {revision, processes = []} = body as {revision?: number; processes?: readonly ProcessStatus[]};
	const behind = processes.filter(process => revision !== undefined && process.revision !== undefined && process.revision < revision).length;
	const rows = processes.map(process => [
		process.processId, process.program ?? '', process.address ?? '', process.failureDomain ?? '', String(process.revision ?? ''), process.state ?? '',
	]);
	return {
		exitCode: EXIT_CODES.done,
		json: body,
		lines: [
			`revision ${revision ?? '(not reported)'}; ${behind} of ${processes.length} processes behind`,
			...formatTable(['PROCESS', 'PROGRAM', 'ADDRESS', 'FAILURE DOMAIN', 'REVISION', 'STATE'], rows),
		],
	};
}
