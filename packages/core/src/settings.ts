import {parseArgs} from 'node:util';
import {err, ok, type Result} from './result.js';

/** One setting of a program, given by flag or environment variable; the flag takes precedence. */
export type SettingDefinition<Value> = {
	readonly description: string;
	/** Default, as text; a setting without one is required. */
	readonly defaultText?: string;
	/** Description of valid values, for error messages and `--help`. */
	readonly expected: string;
	/** Whether the value must not appear in logs or help. */
	readonly secret?: boolean;
	/** Parses the text; undefined when it is not valid. */
	readonly parse: (text: string) => Value | undefined;
};

/** The settings of a program by their camel-case names, from which flags and environment variables are derived. */
export type SettingsSchema = Readonly<Record<string, SettingDefinition<unknown>>>;

/** The values of a schema. */
export type SettingsOf<Schema extends SettingsSchema> = {
	readonly [Name in keyof Schema]: Schema[Name] extends SettingDefinition<infer Value> ? Value : never;
};

/** What the command line requests: to run with the settings, or to print the help text or the version. */
export type SettingsOutcome<Schema extends SettingsSchema>
	= | {readonly kind: 'run'; readonly settings: SettingsOf<Schema>}
		| {readonly kind: 'help'; readonly text: string}
		| {readonly kind: 'version'};

/** One invalid setting and what is wrong with it. */
export type SettingProblem = {
	readonly setting: string;
	readonly message: string;
};

/** All invalid settings of a command line and environment. */
export type SettingsError = {readonly kind: 'invalid_settings'; readonly problems: readonly SettingProblem[]};

/** Exit code of every program for invalid settings. */
export const EXIT_INVALID_SETTINGS = 2;

/**
 * Derives the flag of a setting.
 *
 * @param name - The camel-case name.
 * @returns The flag in kebab case with two leading dashes.
 */
export function flagNameOf(name: string): string {
	return `--${name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
}

/**
 * Derives the environment variable of a setting.
 *
 * @param name - The camel-case name.
 * @returns The variable, for example `AMARANTHSAIL_STORE_ADDRESS`.
 */
export function environmentVariableOf(name: string): string {
	return `AMARANTHSAIL_${name.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase()}`;
}

/**
 * Reads the settings of a program and reports all invalid ones together.
 *
 * @param program - The program's name, for the help text.
 * @param schema - The program's settings.
 * @param argumentTexts - The command line without interpreter and script.
 * @param environment - The environment variables.
 * @returns What the command line requests, or all problems.
 */
export function readSettings<Schema extends SettingsSchema>(
	program: string,
	schema: Schema,
	argumentTexts: readonly string[],
	environment: Readonly<Record<string, string | undefined>>,
): Result<SettingsOutcome<Schema>, SettingsError> {
	const names = Object.keys(schema);
	const options = Object.fromEntries(names.map(name => [flagNameOf(name).slice(2), {type: 'string' as const}]));
	const {values, tokens} = parseArgs({
		args: [...argumentTexts],
		options: {...options, help: {type: 'boolean'}, version: {type: 'boolean'}},
		strict: false,
		tokens: true,
	});
	if (values.help) {
		return ok({kind: 'help', text: helpText(program, schema)});
	}

	if (values.version) {
		return ok({kind: 'version'});
	}

	const problems: SettingProblem[] = [];
	for (const token of tokens) {
		if (token.kind === 'positional') {
			problems.push({setting: token.value, message: 'unexpected argument'});
		}

		if (token.kind === 'option' && !(token.name in options)) {
			problems.push({setting: token.rawName, message: 'unknown flag; see --help'});
		}
	}

	const settings: Record<string, unknown> = {};
	for (const name of names) {
		const definition = schema[name]!;
		const flagValue = values[flagNameOf(name).slice(2)];
		const text = typeof flagValue === 'string' ? flagValue : environment[environmentVariableOf(name)] ?? definition.defaultText;
		const setting = `${flagNameOf(name)} (${environmentVariableOf(name)})`;
		// For a flag without a value, `parseArgs` takes the next flag as its value.
		if (flagValue === true || (typeof flagValue === 'string' && flagValue.startsWith('--'))) {
			problems.push({setting, message: `the flag has no value; expected ${definition.expected}`});
			continue;
		}

		if (text === undefined) {
			problems.push({setting, message: `required: ${definition.expected}`});
			continue;
		}

		const value = definition.parse(text);
		if (value === undefined) {
			const displayedValue = definition.secret ? 'the value' : JSON.stringify(text);
			problems.push({setting, message: `${displayedValue} is not valid; expected ${definition.expected}`});
			continue;
		}

		settings[name] = value;
	}

	return problems.length > 0
		? err({kind: 'invalid_settings', problems})
		: ok({kind: 'run', settings: settings as SettingsOf<Schema>});
}

function helpText(program: string, schema: SettingsSchema): string {
	const lines = Object.entries(schema).map(([name, definition]) => {
		const defaultNote = definition.defaultText === undefined ? 'required' : `default ${JSON.stringify(definition.defaultText)}`;
		return `  ${flagNameOf(name)} (${environmentVariableOf(name)})\n      ${definition.description} Expects ${definition.expected}; ${defaultNote}.`;
	});
	return [`Usage: ${program} [flags]`, '', ...lines, '', '  --help     Prints this text.', '  --version  Prints the version.', ''].join('\n');
}

/** A host and a port. */
export type Address = {readonly host: string; readonly port: number};

/**
 * Parses `host:port`.
 *
 * @param text - For example `127.0.0.1:7400`.
 * @returns The address, or undefined when the text is not valid.
 */
export function parseAddress(text: string): Address | undefined {
	const match = /^(?<host>[\w.\-]+):(?<port>\d{1,5})$/v.exec(text);
	const port = Number(match?.groups?.port);
	return match && port <= 65_535 ? {host: match.groups!.host!, port} : undefined;
}

/**
 * Formats an address as `host:port`.
 *
 * @param address - The address.
 * @returns The text that {@link parseAddress} reads.
 */
export function formatAddress(address: Address): string {
	return `${address.host}:${address.port}`;
}

/**
 * Defines a setting whose value is a text.
 *
 * @param description - What the setting does.
 * @param defaultText - The default, or undefined for a required setting.
 * @returns The definition.
 */
export function textSetting(description: string, defaultText?: string): SettingDefinition<string> {
	return {
		description, defaultText, expected: 'a non-empty text', parse: text => text === '' ? undefined : text,
	};
}

/**
 * Defines a secret setting.
 *
 * @param description - What the setting does.
 * @returns The definition; its value is never printed.
 */
export function secretSetting(description: string): SettingDefinition<string> {
	return {
		description, expected: 'a secret of at least 8 characters', secret: true, parse: text => text.length < 8 ? undefined : text,
	};
}

/**
 * Defines an integer setting.
 *
 * @param description - What the setting does.
 * @param range - The smallest and the largest valid value.
 * @param defaultNumber - The default, or undefined for a required setting.
 * @returns The definition.
 */
export function integerSetting(description: string, range: readonly [number, number], defaultNumber?: number): SettingDefinition<number> {
	return {
		description,
		defaultText: defaultNumber?.toString(),
		expected: `a whole number from ${range[0]} to ${range[1]}`,
		parse(text) {
			const value = Number(text);
			return /^-?\d+$/v.test(text) && value >= range[0] && value <= range[1] ? value : undefined;
		},
	};
}

/**
 * Defines an address setting.
 *
 * @param description - What the setting does.
 * @param defaultText - The default, or undefined for a required setting.
 * @returns The definition.
 */
export function addressSetting(description: string, defaultText?: string): SettingDefinition<Address> {
	return {
		description, defaultText, expected: 'host:port', parse: parseAddress,
	};
}

/**
 * Defines a setting with a comma-separated list of addresses.
 *
 * @param description - What the setting does.
 * @param defaultText - The default, or undefined for a required setting.
 * @returns The definition.
 */
export function addressListSetting(description: string, defaultText?: string): SettingDefinition<readonly Address[]> {
	return {
		description,
		defaultText,
		expected: 'a comma-separated list of host:port',
		parse(text) {
			const addresses = text.split(',').map(part => parseAddress(part.trim()));
			return addresses.every(address => address !== undefined) ? addresses : undefined;
		},
	};
}
