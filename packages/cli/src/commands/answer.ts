import {Buffer} from 'node:buffer';
import {writeFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {ApiCommand} from '../api-command.js';
import {jobPath} from '../api-paths.js';
import {toCommandResult} from '../command-result.js';
import {EXIT_CODES} from '../exit-code.js';

/** Prints the answer of a job or writes it to a file. */
export class AnswerCommand extends ApiCommand {
	static override description = 'Prints the answer of a completed job, or writes it to a file.';
	static override args = {id: Args.string({description: 'Id of the job.', required: true})};
	static override flags = {output: Flags.string({char: 'o', description: 'File for the bytes of the answer.'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(AnswerCommand);
		return this.withClient(flags, async client => {
			const response = await client.send({method: 'GET', path: jobPath(args.id, '/answer'), readOnly: true});
			const bytes = response.kind === 'answered' ? response.bytes : undefined;
			const result = toCommandResult(response, body => ({
				exitCode: EXIT_CODES.done,
				json: body ?? {lengthBytes: bytes!.length, base64: Buffer.from(bytes!).toString('base64')},
				lines: [new TextDecoder().decode(bytes)],
			}));
			if (flags.output === undefined || result.exitCode !== EXIT_CODES.done) {
				return result;
			}

			try {
				await writeFile(flags.output, bytes!);
			} catch (error) {
				this.usageError(`cannot write ${flags.output}: ${error instanceof Error ? error.message : String(error)}`);
			}

			return {exitCode: EXIT_CODES.done, json: {file: flags.output, lengthBytes: bytes!.length}, lines: [`${flags.output}: ${bytes!.length} bytes`]};
		});
	}
}
