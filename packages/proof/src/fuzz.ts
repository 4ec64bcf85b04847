#!/usr/bin/env node
import process from 'node:process';
import fc from 'fast-check';
import {
	EXIT_INVALID_SETTINGS,
	integerSetting,
	readSettings,
} from '@amaranthsail/core';
import {fuzzCommands, runHistory} from './commands.js';

const SETTINGS = {
	durationMs: integerSetting('How long to run, in milliseconds.', [0, 86_400_000], 60_000),
	seed: integerSetting('First seed; the default takes one from the clock.', [0, 2_147_483_647], 0),
	commands: integerSetting('Largest number of commands of one history.', [1, 1000], 60),
};

/** Histories of one property run. */
const RUNS_PER_SEED = 20;

async function main(): Promise<void> {
	const outcome = readSettings('fuzz', SETTINGS, process.argv.slice(2), process.env);
	if (!outcome.ok) {
		for (const problem of outcome.error.problems) {
			process.stderr.write(`${problem.setting}: ${problem.message}\n`);
		}

		process.exitCode = EXIT_INVALID_SETTINGS;
		return;
	}

	if (outcome.value.kind !== 'run') {
		process.stdout.write(outcome.value.kind === 'help' ? outcome.value.text : '0.1.0\n');
		return;
	}

	const {durationMs, commands, seed: firstSeed} = outcome.value.settings;
	const untilMs = performance.now() + durationMs;
	let seed = firstSeed === 0 ? Date.now() % 2_147_483_647 : firstSeed;
	let histories = 0;
	do {
		const property = fc.asyncProperty(fc.nat(), fuzzCommands(commands), async (worldSeed, history) => runHistory(worldSeed, history));
		const details = await fc.check(property, {seed, numRuns: RUNS_PER_SEED});
		histories += details.numRuns;
		if (details.failed && details.counterexample) {
			const cause = details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance);
			process.stdout.write(`${fc.defaultReportMessage(details) ?? ''}\n${cause}\nfailing seed: ${seed}\n`);
			process.exitCode = 1;
			return;
		}

		seed += 1;
	} while (performance.now() < untilMs);

	process.stdout.write(`${histories} histories, no violation; next seed ${seed}\n`);
}

await main();
