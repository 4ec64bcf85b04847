import {readFileSync} from 'node:fs';
import process from 'node:process';
import {EXIT_INVALID_SETTINGS, readSettings, type SettingsOf, type SettingsSchema} from './settings.js';

/**
 * Reads the settings of a program from its command line and environment. Prints the help text, the version or every
 * invalid setting.
 *
 * @param program - The program's name.
 * @param schema - The program's settings.
 * @param moduleUrl - `import.meta.url` of the program's main module, which is one directory below its package.
 * @param argumentTexts - The command line without interpreter and script.
 * @returns The settings, or undefined when the program must exit; for invalid settings `process.exitCode` is set.
 */
export function readProgramSettings<Schema extends SettingsSchema>(
	program: string,
	schema: Schema,
	moduleUrl: string,
	argumentTexts: readonly string[] = process.argv.slice(2),
): SettingsOf<Schema> | undefined {
	const outcome = readSettings(program, schema, argumentTexts, process.env);
	if (!outcome.ok) {
		for (const {setting, message} of outcome.error.problems) {
			process.stderr.write(`${program}: ${setting}: ${message}\n`);
		}

		process.exitCode = EXIT_INVALID_SETTINGS;
		return undefined;
	}

	switch (outcome.value.kind) {
		case 'run': {
			return outcome.value.settings;
		}

		case 'help': {
			process.stdout.write(outcome.value.text);
			return undefined;
		}

		case 'version': {
			const {version} = JSON.parse(readFileSync(new URL('../package.json', moduleUrl), 'utf8')) as {readonly version: string};
			process.stdout.write(`${version}\n`);
			return undefined;
		}
	}
}
