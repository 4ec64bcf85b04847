#!/usr/bin/env node
import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {
	integerSetting, readProgramSettings, type SettingDefinition,
} from '@amaranthsail/core';
import {formatTimings, runScenarios, SCENARIOS, type Scenario} from './runs/index.js';

const RESULTS_DIRECTORY = new URL('../../../bench-results/', import.meta.url);

const scenarioSetting: SettingDefinition<readonly Scenario[]> = {
	description: 'The scenarios to run.',
	defaultText: 'all',
	expected: `all or names separated by commas of ${SCENARIOS.map(({name}) => name).join(', ')}`,
	parse(text) {
		const scenarios = text === 'all' ? SCENARIOS : text.split(',').map(name => SCENARIOS.find(scenario => scenario.name === name));
		return scenarios.every(scenario => scenario !== undefined) ? scenarios : undefined;
	},
};

const SETTINGS = {
	scenario: scenarioSetting,
	repeats: integerSetting('Repetitions of measured steps.', [1, 100], 3),
};

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function main(): Promise<void> {
	const settings = readProgramSettings('failure-runs', SETTINGS, import.meta.url);
	if (!settings) {
		return;
	}

	const {scenario, repeats} = settings;
	const report = await runScenarios(scenario, repeats, print);
	for (const line of formatTimings(report.figures)) {
		print(line);
	}

	await mkdir(RESULTS_DIRECTORY, {recursive: true});
	await writeFile(new URL('failure-runs.json', RESULTS_DIRECTORY), `${JSON.stringify(report, undefined, '\t')}\n`);
	const lateTimings = report.figures.filter(({maxMs, targetMs}) => targetMs !== undefined && maxMs > targetMs);
	const failedScenarios = report.scenarios.filter(({violation}) => violation !== undefined);
	print(`${report.scenarios.length - failedScenarios.length} of ${report.scenarios.length} scenarios passed; ${lateTimings.length} times above their targets.`);
	process.exitCode = failedScenarios.length + lateTimings.length > 0 ? 1 : 0;
}

await main();
