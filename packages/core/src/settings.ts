import {parseArgs} from 'node:util';
import {err, ok, type Result} from './result.js';

/** One setting of a program, given by flag or environment variable; the flag wins. */
export type SettingDefinition<Value> = {
	readonly description: string;
	/** Text used when neither flag nor variable is given; without it the setting is required. */
	readonly defaultText?: string;
	/** What a valid value looks like, for messages and `--help`. */
	readonly expected: string;
	/** Whether the value must not appear in logs or help. */
	readonly secret?: boolean;
	/** Turns the text into a value, or returns undefined when it is not valid. */
	readonly parse: (text: string) => Value | undefined;
};

/** The settings of a program, by camel-case name. */
export type SettingsSchema = Readonly<Record<string, SettingDefinition<unknown>>>;

/** The values of a schema. */
export type SettingsOf<Schema extends SettingsSchema> = {
	readonly [Name in keyof Schema]: Schema[Name] extends SettingDefinition<infer Value> ? Value : never;
};

/** What a program was asked to do by its command line. */
export type SettingsOutcome<Schema extends SettingsSchema>
	= | {readonly kind: 'run'; readonly settings: SettingsOf<Schema>}
		| {readonly kind: 'help'; readonly text: string}
		| {readonly kind: 'version'};

/** One wrong setting and what was expected. */
export type SettingProblem = {
	readonly setting: string;
	readonly message: string;
};

/** All wrong settings of a command line. */
export type SettingsError = {readonly kind: 'invalid_settings'; readonly problems: readonly SettingProblem[]};

/** Exit code of every program whose settings are wrong. */
export const EXIT_INVALID_SETTINGS = 2;

/**
 * Names the flag of a setting.
 *
 * @param name - The camel-case name.
 * @returns The flag in kebab case with its two dashes.
 */
export function flagOf(name: string): string {
	return `--${name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
}

/**
 * Names the environment variable of a setting.
 *
 * @param name - The camel-case name.
 * @returns The variable, for example `AMARANTHSAIL_STORE_ADDRESS`.
 */
export function variableOf(name: string): string {
	return `AMARANTHSAIL_${name.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase()}`;
}

/**
 * Reads the settings of a program and reports every wrong one at once.
 *
 * @param program - The program's name, for the help text.
 * @param schema - The settings it has.
 * @param argumentTexts - The command line without interpreter and script.
 * @param environment - The environment variables.
 * @returns What to do, or all problems found.
 */
export function readSettings<Schema extends SettingsSchema>(
	program: string,
	schema: Schema,
	argumentTexts: readonly string[],
	environment: Readonly<Record<string, string | undefined>>,
): Result<SettingsOutcome<Schema>, SettingsError> {
	const names = Object.keys(schema);
	const options = Object.fromEntries(names.map(name => [flagOf(name).slice(2), {type: 'string' as const}]));
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
		const flagValue = values[flagOf(name).slice(2)];
		const text = typeof flagValue === 'string' ? flagValue : environment[variableOf(name)] ?? definition.defaultText;
		const setting = `${flagOf(name)} (${variableOf(name)})`;
		// `parseArgs` takes the next flag as the value of one that has none.
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
			const shown = definition.secret ? 'the value' : JSON.stringify(text);
			problems.push({setting, message: `${shown} is not valid; expected ${definition.expected}`});
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
		const preset = definition.defaultText === undefined ? 'required' : `default ${JSON.stringify(definition.defaultText)}`;
		return `  ${flagOf(name)} (${variableOf(name)})\n      ${definition.description} Expects ${definition.expected}; ${preset}.`;
	});
	return [`Usage: ${program} [flags]`, '', ...lines, '', '  --help     Prints this text.', '  --version  Prints the version.', ''].join('\n');
}

/** A host and a port. */
export type Address = {readonly host: string; readonly port: number};

/**
 * Parses `host:port`.
 *
 * @param text - For example `127.0.0.1:7400`.
 * @returns The address, or undefined when the text is not one.
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
 * Defines a text setting.
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
 * Defines a secret text setting.
 *
 * @param description - What the setting does.
 * @returns The definition; the value is never printed.
 */
export function secretSetting(description: string): SettingDefinition<string> {
	return {
		description, expected: 'a secret of at least 8 characters', secret: true, parse: text => text.length < 8 ? undefined : text,
	};
}

/**
 * Defines a whole-number setting.
 *
 * @param description - What the setting does.
 * @param range - The smallest and largest valid number.
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
