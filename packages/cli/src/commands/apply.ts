import {formatRecordId, type RecordDocument} from '@amaranthsail/records';
import {Args, Flags} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {recordPath} from '../api-paths.js';
import {objectResultOf, type CommandResult} from '../command-result.js';
import type {EntryClient} from '../entry-client.js';
import {EXIT_CODES, worstExitCode, type ExitCode} from '../exit-code.js';
import {parseTakenFields, readRecords} from '../read-records.js';
import {showAccepted} from '../change-output.js';

/** Outcomes after which further submits would only fail or add doubt. */
const STOPPING_CODES: ReadonlySet<ExitCode> = new Set<ExitCode>([EXIT_CODES.noEntry, EXIT_CODES.unknownOutcome]);

/** Submits every record of files. */
export class ApplyCommand extends ApiCommand {
	static override description = 'Submits every record of files, those first that others refer to.';
	static override strict = false;
	static override args = {files: Args.string({description: 'YAML or JSON files of records.', required: true})};
	static override flags = {
		'take-ownership': Flags.string({
			description: 'Field of another operator to change, as KIND/NAME:FIELD; covers the fields under it.',
			multiple: true,
			multipleNonGreedy: true,
			default: [],
		}),
		'base-revision': Flags.integer({description: 'Revision that the files were made from; newer fields that differ conflict.', min: 0}),
	};

	async run(): Promise<unknown> {
		const {argv, flags} = await this.parse(ApplyCommand);
		const records = await readRecords(argv as string[]);
		if (!records.ok) {
			this.usageError(records.error);
		}

		const taken = parseTakenFields(flags['take-ownership']);
		if (!taken.ok) {
			this.usageError(taken.error);
		}

		const ids = new Set(records.value.map(record => formatRecordId(record)));
		const stray = [...taken.value.keys()].find(id => !ids.has(id));
		if (stray !== undefined) {
			this.usageError(`--take-ownership names ${stray}, which is not in the files`);
		}

		return this.withClient(flags, async client => {
			const results: Array<{readonly record: string} & CommandResult> = [];
			for (const record of records.value) {
				const id = formatRecordId(record);
				const body = {record, baseRevision: flags['base-revision'], takeOwnership: taken.value.get(id)};
				const result = await submit(client, record, body);
				results.push({record: id, ...result});
				if (STOPPING_CODES.has(result.exitCode)) {
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

async function submit(client: EntryClient, record: RecordDocument, body: unknown): Promise<CommandResult> {
	const answer = await client.send({
		method: 'PUT', path: recordPath(record), body, readOnly: false,
	});
	return objectResultOf(answer, showAccepted);
}
