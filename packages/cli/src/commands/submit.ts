import {stdin} from 'node:process';
import {text} from 'node:stream/consumers';
import {newId} from '@amaranthsail/core';
import {Args, Flags} from '@oclif/core';
import {parse} from 'yaml';
import {ApiCommand} from '../api-command.js';
import {toObjectCommandResult} from '../command-result.js';
import {formatJob} from '../job-output.js';
import {readText} from '../read-records.js';

/** Submits a job. */
export class SubmitCommand extends ApiCommand {
	static override description = 'Submits a job. Submitting again with the same idempotency key returns the same job.';
	static override args = {file: Args.string({description: 'JSON or YAML file of the job, or - for standard input.', required: true})};
	static override flags = {
		'idempotency-key': Flags.string({description: 'Idempotency key of the request; if absent, a random one is generated and printed first.'}),
		'wait-ms': Flags.integer({description: 'Longest wait for the job to finish, in milliseconds.', min: 0}),
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(SubmitCommand);
		const job = await this.#readJob(args.file);
		const waitMs = flags['wait-ms'] ?? (typeof job.waitMs === 'number' ? job.waitMs : undefined);
		const idempotencyKey = flags['idempotency-key'] ?? newId();
		// Printed before the request is sent, so that the key is known even if the command is interrupted.
		this.logToStderr(`idempotency key ${idempotencyKey}`);
		return this.withClient(flags, async client => {
			const response = await client.send({
				method: 'POST', path: '/v1/jobs', headers: {'idempotency-key': idempotencyKey}, body: {...job, waitMs}, waitMs, readOnly: false,
			});
			const result = toObjectCommandResult(response, formatJob);
			return {...result, json: {...result.json as Record<string, unknown>, idempotencyKey}};
		});
	}

	async #readJob(file: string): Promise<Readonly<Record<string, unknown>>> {
		const content = file === '-' ? {ok: true as const, value: await text(stdin)} : await readText(file);
		if (!content.ok) {
			this.usageError(content.error);
		}

		try {
			const job: unknown = parse(content.value);
			if (typeof job === 'object' && job !== null && !Array.isArray(job)) {
				return job as Readonly<Record<string, unknown>>;
			}
		} catch (error) {
			this.usageError(`${file}: expected JSON or YAML: ${error instanceof Error ? error.message : String(error)}`);
		}

		return this.usageError(`${file}: expected an object with service and operation`);
	}
}
