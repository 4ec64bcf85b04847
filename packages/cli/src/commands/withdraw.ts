import {Args, Flags} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {recordPath} from '../api-paths.js';
import {toObjectCommandResult} from '../command-result.js';
import {parseRecordId} from '../read-records.js';
import {formatAcceptedChange} from '../change-output.js';

/** Withdraws a record. */
export class WithdrawCommand extends ApiCommand {
	static override description = 'Withdraws a record that no other record references.';
	static override args = {record: Args.string({description: 'The record as KIND/NAME.', required: true})};
	static override flags = {
		'take-ownership': Flags.string({
			description: 'Field of another operator to withdraw; covers the fields under it.',
			multiple: true,
			multipleNonGreedy: true,
		}),
		'base-revision': Flags.integer({description: 'Revision that the withdrawal is based on; fields changed since then conflict.', min: 0}),
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(WithdrawCommand);
		const id = parseRecordId(args.record);
		if (!id) {
			this.usageError(`${JSON.stringify(args.record)} is not valid; expected KIND/NAME`);
		}

		// Accepts both FIELD and, as apply does, KIND/NAME:FIELD.
		const takeOwnership = flags['take-ownership']?.map(field => field.replace(`${args.record}:`, ''));
		return this.withClient(flags, async client => {
			const response = await client.send({
				method: 'DELETE', path: recordPath(id), body: {baseRevision: flags['base-revision'], takeOwnership}, readOnly: false,
			});
			return toObjectCommandResult(response, formatAcceptedChange);
		});
	}
}
