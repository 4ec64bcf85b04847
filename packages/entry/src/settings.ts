import {
	addressSetting,
	integerSetting,
	secretSetting,
	textSetting,
	LOG_LEVELS,
	type Address,
	type LogLevel,
	type SettingDefinition,
	type SettingsOf,
} from '@amaranthsail/core';

/** Tokens by the name of the client account or operator that they authenticate. */
export type TokenTable = ReadonlyMap<string, string>;

const MIN_TOKEN_LENGTH = 8;

/**
 * Parses `name=token` pairs separated by commas.
 *
 * @param text - The text of the setting.
 * @returns The tokens by name, or undefined when the text is not valid.
 */
export function parseTokens(text: string): TokenTable | undefined {
	const tokens = new Map<string, string>();
	for (const pair of text.split(',')) {
		const separator = pair.indexOf('=');
		const name = pair.slice(0, separator).trim();
		const token = pair.slice(separator + 1).trim();
		if (separator < 1 || name === '' || token.length < MIN_TOKEN_LENGTH || tokens.has(name)) {
			return undefined;
		}

		tokens.set(name, token);
	}

	return new Set(tokens.values()).size === tokens.size ? tokens : undefined;
}

function tokensSetting(description: string): SettingDefinition<TokenTable> {
	return {
		description,
		expected: `a comma-separated list of name=token with distinct names and distinct tokens of at least ${MIN_TOKEN_LENGTH} characters`,
		secret: true,
		parse: parseTokens,
	};
}

/** The address is sent to other processes; with a wildcard address they would connect to themselves. */
function advertisedAddressSetting(description: string, defaultText: string): SettingDefinition<Address> {
	const definition = addressSetting(description, defaultText);
	return {
		...definition,
		expected: 'host:port that other processes can reach, not a wildcard address',
		parse(text) {
			const address = definition.parse(text);
			return address?.host === '0.0.0.0' ? undefined : address;
		},
	};
}

const logLevelSetting: SettingDefinition<LogLevel> = {
	description: 'Minimum level of the log lines that are written.',
	defaultText: 'info',
	expected: `one of ${Object.keys(LOG_LEVELS).join(', ')}`,
	parse: text => text in LOG_LEVELS ? text as LogLevel : undefined,
};

/** Settings of `amaranthsail-entry`. */
export const ENTRY_SETTINGS = {
	listenAddress: advertisedAddressSetting('Address of the HTTP API and of the calls between entries.', '127.0.0.1:7400'),
	datagramAddress: advertisedAddressSetting('UDP address for the datagrams of agents.', '127.0.0.1:7400'),
	storeAddress: addressSetting('Address of the platform\'s tables and objects.'),
	region: textSetting('Region of this process.'),
	failureDomain: textSetting('Failure domain of this process.'),
	sharedSecret: secretSetting('Authenticates the processes of the system to one another.'),
	accountTokens: tokensSetting('Tokens of the client accounts.'),
	operatorTokens: tokensSetting('Tokens of the operators.'),
	statsdAddress: addressSetting('Where StatsD metrics are sent.', '127.0.0.1:8125'),
	storeTimeoutMs: integerSetting('Longest wait for one call to the store, in milliseconds.', [50, 60_000], 2000),
	drainTimeoutMs: integerSetting('Longest time a drain waits for open requests, in milliseconds. Longer than the longest wait of a caller.', [0, 600_000], 30_000),
	logLevel: logLevelSetting,
} as const;

/** Values of the settings of `amaranthsail-entry`. */
export type EntrySettings = SettingsOf<typeof ENTRY_SETTINGS>;
