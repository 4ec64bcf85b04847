import {formatRecordId, type RecordDiff} from '@amaranthsail/records';
import {Args} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {refusalExitCode, formatRefusal, toObjectCommandResult, formatValue, type CommandResult} from '../command-result.js';
import {EXIT_CODES, worstExitCode} from '../exit-code.js';
import {readRecords} from '../read-records.js';

const CONFLICT_STATUS = 409;
const REFUSED_STATUS = 422;

/** Shows the changes and conflicts of applying record files. */
export class DiffCommand extends ApiCommand {
	static override description = 'Shows the changes and conflicts of applying files, without applying them.';
	static override strict = false;
	static override args = {files: Args.string({description: 'YAML or JSON files with records.', required: true})};

	async run(): Promise<unknown> {
		const {argv, flags} = await this.parse(DiffCommand);
		const records = await readRecords(argv as string[]);
		if (!records.ok) {
			this.usageError(records.error);
		}

		return this.withClient(flags, async client => {
			const response = await client.send({
				method: 'POST', path: '/v1/records/diff', body: {records: records.value}, readOnly: true,
			});
			return toObjectCommandResult(response, formatDiffs);
		});
	}
}

function formatDiffs(body: unknown): CommandResult {
	const diffs = body as readonly RecordDiff[];
	const codes = diffs.flatMap(({refusal}) => refusal
		? [refusalExitCode(refusal.code === 'field_conflict' ? CONFLICT_STATUS : REFUSED_STATUS, refusal.outcome)]
		: []);
	return {exitCode: worstExitCode([EXIT_CODES.done, ...codes]), json: body, lines: diffs.flatMap(diff => formatDiff(diff))};
}

function formatDiff(diff: RecordDiff): readonly string[] {
	const title = diff.record ? formatRecordId(diff.record) : `document ${diff.index + 1}`;
	const changes = diff.changes.map(({field, from, to}) => `  ${field}: ${formatValue(from)} -> ${formatValue(to)}`);
	const refusal = diff.refusal ? formatRefusal(diff.refusal).map(line => `  ${line}`) : [];
	return [`${title}: ${diff.action}`, ...changes, ...refusal];
}
