import {formatRecordId, isRecordKind, RECORD_KINDS, type RecordView} from '@amaranthsail/records';
import {Args} from '@oclif/core';
import {stringify} from 'yaml';
import {ApiCommand} from '../api-command.js';
import {recordPath} from '../api-paths.js';
import {toObjectCommandResult, type CommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';
import {formatTable} from '../format-table.js';
import {parseRecordId} from '../read-records.js';

/** Shows records. */
export class RecordsCommand extends ApiCommand {
	static override description = 'Lists the records, or shows one with the owner and revision of each field.';
	static override args = {record: Args.string({description: 'KIND or KIND/NAME; all records when absent.'})};

	async run(): Promise<unknown> {
		const {args: {record}, flags} = await this.parse(RecordsCommand);
		const id = record === undefined ? undefined : parseRecordId(record);
		if (record !== undefined && !id && !isRecordKind(record)) {
			this.usageError(`${JSON.stringify(record)} is not valid; expected KIND or KIND/NAME with a kind of ${RECORD_KINDS.join(', ')}`);
		}

		return this.withClient(flags, async client => {
			const response = await client.send({method: 'GET', path: id ? recordPath(id) : '/v1/records', readOnly: true});
			return toObjectCommandResult(response, body => id ? formatRecord(body as RecordView) : formatRecords(body, record));
		});
	}
}

/** Formats a record as a document that `apply` accepts, with the owners of its fields as comments. */
function formatRecord(view: RecordView): CommandResult {
	const {schemaVersion, kind, name, spec} = view;
	const owners = Object.entries(view.fields).map(([field, {owner, revision}]) => `# ${field}: ${owner}, revision ${revision}`);
	const document = stringify({
		schemaVersion, kind, name, spec,
	}).trimEnd();
	return {exitCode: EXIT_CODES.done, json: view, lines: [`# revision ${view.revision}`, document, ...owners]};
}

function formatRecords(body: Record<string, unknown>, kind: string | undefined): CommandResult {
	const {revision = 0, records = []} = body as {revision?: number; records?: readonly RecordView[]};
	const selectedRecords = records.filter(record => kind === undefined || record.kind === kind);
	const rows = selectedRecords.map(view => [
		formatRecordId(view), String(view.schemaVersion), String(view.revision), [...new Set(Object.values(view.fields).map(({owner}) => owner))].join(', '),
	]);
	return {
		exitCode: EXIT_CODES.done,
		json: {revision, records: selectedRecords},
		lines: [`revision ${revision}`, ...formatTable(['RECORD', 'SCHEMA', 'REVISION', 'OWNERS'], rows)],
	};
}
