import process from 'node:process';
import {parseAddress, type Address} from '@amaranthsail/core';
import {Command, Errors, Flags} from '@oclif/core';
import type {CommandResult} from './command-result.js';
import {EntryClient} from './entry-client.js';
import {EXIT_CODES} from './exit-code.js';

/** Timeout of requests that do not wait for a job; the service responds within seconds even during a takeover. */
const DEFAULT_TIMEOUT_MS = 10_000;

const addressesFlag = Flags.custom<readonly Address[]>({
	async parse(text) {
		return text.split(',').map(part => {
			const address = parseAddress(part.trim());
			if (!address) {
				throw new Errors.CLIError(`--entry-addresses: ${JSON.stringify(part)} is not valid; expected host:port, separated by commas`, {exit: EXIT_CODES.usage});
			}

			return address;
		});
	},
});

/** Flags of every command that sends requests to entries. */
export type ApiFlags = {
	readonly 'entry-addresses': readonly Address[];
	readonly token: string | undefined;
	readonly 'timeout-ms': number;
};

/** A command that sends requests to entries. */
export abstract class ApiCommand extends Command {
	static override enableJsonFlag = true;

	static override baseFlags = {
		'entry-addresses': addressesFlag({
			description: 'Entries as host:port, separated by commas; tried in this order.',
			env: 'AMARANTHSAIL_ENTRY_ADDRESSES',
			required: true,
		}),
		token: Flags.string({description: 'Bearer token.', env: 'AMARANTHSAIL_TOKEN'}),
		'timeout-ms': Flags.integer({
			description: 'Longest wait for each entry in milliseconds, in addition to --wait-ms.',
			default: DEFAULT_TIMEOUT_MS,
			min: 1,
		}),
	};

	/**
	 * Runs an action with a client, prints its result and sets the exit code.
	 *
	 * @param flags - The parsed flags.
	 * @param action - Sends the requests and returns the result.
	 * @returns The JSON result; oclif prints it with `--json`.
	 */
	protected async withClient(flags: ApiFlags, action: (client: EntryClient) => Promise<CommandResult>): Promise<unknown> {
		const client = new EntryClient({addresses: flags['entry-addresses'], token: flags.token, timeoutMs: flags['timeout-ms']});
		try {
			const {exitCode, json, lines} = await action(client);
			process.exitCode = exitCode;
			for (const line of lines) {
				if (exitCode === EXIT_CODES.done) {
					this.log(line);
				} else {
					this.logToStderr(line);
				}
			}

			return json;
		} finally {
			await client.close();
		}
	}

	/**
	 * Ends the command because of invalid input.
	 *
	 * @param message - The invalid input and what is expected.
	 */
	protected usageError(message: string): never {
		this.error(message, {exit: EXIT_CODES.usage});
	}

	/**
	 * Sets the documented exit code for an error, also with `--json`, where oclif would exit with 1.
	 * After an internal error of this program the outcome of the requests it sent is unknown.
	 *
	 * @param error - The error.
	 * @returns Nothing; rethrows the error without `--json`.
	 */
	protected override async catch(error: Error & {oclif?: {exit?: number}}): Promise<unknown> {
		const exit = error.oclif?.exit ?? EXIT_CODES.unknownOutcome;
		error.oclif = {...error.oclif, exit};
		process.exitCode = exit;
		return super.catch(error);
	}
}
