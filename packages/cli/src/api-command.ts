import process from 'node:process';
import {parseAddress, type Address} from '@amaranthsail/core';
import {Command, Errors, Flags} from '@oclif/core';
import type {CommandResult} from './command-result.js';
import {EntryClient} from './entry-client.js';
import {EXIT_CODES} from './exit-code.js';

/** Longest wait for an entry that has nothing to wait for; the service answers within seconds even during a takeover. */
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

/** Flags of every command that talks to entries. */
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
			description: 'Entries to try in this order, as host:port separated by commas.',
			env: 'AMARANTHSAIL_ENTRY_ADDRESSES',
			required: true,
		}),
		token: Flags.string({description: 'Bearer token.', env: 'AMARANTHSAIL_TOKEN'}),
		'timeout-ms': Flags.integer({
			description: 'Longest wait for each entry in milliseconds, besides --wait-ms.',
			default: DEFAULT_TIMEOUT_MS,
			min: 1,
		}),
	};

	/**
	 * Runs an action with a client, prints its result and sets the exit code.
	 *
	 * @param flags - The parsed flags.
	 * @param action - What to do.
	 * @returns The JSON result, which oclif prints with `--json`.
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
	 * Ends the command because of its input.
	 *
	 * @param message - What is wrong and what is expected.
	 */
	protected usageError(message: string): never {
		this.error(message, {exit: EXIT_CODES.usage});
	}

	/**
	 * Gives errors their documented exit codes, with `--json` too, for which oclif would exit 1.
	 * A fault of this program leaves the outcome of what it sent unknown.
	 *
	 * @param error - The error.
	 * @returns Nothing; rethrows without `--json`.
	 */
	protected override async catch(error: Error & {oclif?: {exit?: number}}): Promise<unknown> {
		const exit = error.oclif?.exit ?? EXIT_CODES.unknownOutcome;
		error.oclif = {...error.oclif, exit};
		process.exitCode = exit;
		return super.catch(error);
	}
}
