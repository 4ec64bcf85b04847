import {formatRecordId, type RecordDocument} from '@amaranthsail/records';
import {Args, Flags} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {recordPath} from '../api-paths.js';
import {toObjectCommandResult, type CommandResult} from '../command-result.js';
import type {EntryClient} from '../entry-client.js';
import {EXIT_CODES, worstExitCode, type ExitCode} from '../exit-code.js';
import {parseOwnershipFlags, readRecords} from '../read-records.js';
import {formatAcceptedChange} from '../change-output.js';

/** Exit codes after which further submissions would only fail or have unknown outcomes as well. */
const STOPPING_EXIT_CODES: ReadonlySet<ExitCode> = new Set<ExitCode>([EXIT_CODES.noEntry, EXIT_CODES.unknownOutcome]);

/** Submits every record of the given files. */
export class ApplyCommand extends ApiCommand {
	static override description = 'Submits every record of the given files, referenced ones first.';
	static override strict = false;
	static override args = {files: Args.string({description: 'YAML or JSON files with records.', required: true})};
	static override flags = {
		'take-ownership': Flags.string({
			description: 'Field of another operator to change, as KIND/NAME:FIELD; covers the fields under it.',
			multiple: true,
			multipleNonGreedy: true,
			default: [],
		}),
		'base-revision': Flags.integer({description: 'Revision that the files are based on; fields changed since then conflict if they differ.', min: 0}),
	};

	async run(): Promise<unknown> {
		const {argv, flags} = await this.parse(ApplyCommand);
		const records = await readRecords(argv as string[]);
		if (!records.ok) {
			this.usageError(records.error);
		}

		const fieldsByRecord = parseOwnershipFlags(flags['take-ownership']);
		if (!fieldsByRecord.ok) {
			this.usageError(fieldsByRecord.error);
		}

		const ids = new Set(records.value.map(record => formatRecordId(record)));
		const missingRecord = [...fieldsByRecord.value.keys()].find(id => !ids.has(id));
		if (missingRecord !== undefined) {
			this.usageError(`--take-ownership names ${missingRecord}, which is not in the files`);
		}

		return this.withClient(flags, async client => {
			const results: Array<{readonly record: string} & CommandResult> = [];
			for (const record of records.value) {
				const id = formatRecordId(record);
				const body = {record, baseRevision: flags['base-revision'], takeOwnership: fieldsByRecord.value.get(id)};
				const result = await submitRecord(client, record, body);
				results.push({record: id, ...result});
				if (STOPPING_EXIT_CODES.has(result.exitCode)) {
					break;
				}
			}

			const skipped = records.value.slice(results.length).map(record => formatRecordId(record));
			return {
				exitCode: worstExitCode(results.map(result => result.exitCode)),
				json: {results: results.map(({record, exitCode, json}) => ({record, exitCode, answer: json})), skipped},
				lines: [
					...results.flatMap(({record, lines}) => lines.map((line, index) => index === 0 ? `${record}: ${line}` : line)),
					...skipped.map(record => `${record}: skipped after the failure above`),
				],
			};
		});
	}
}

async function submitRecord(client: EntryClient, record: RecordDocument, body: unknown): Promise<CommandResult> {
	const response = await client.send({
		method: 'PUT', path: recordPath(record), body, readOnly: false,
	});
	return toObjectCommandResult(response, formatAcceptedChange);
}
