#!/usr/bin/env node
import process from 'node:process';
import fc from 'fast-check';
import {integerSetting, readProgramSettings} from '@amaranthsail/core';
import {fuzzCommands, runHistory} from './fuzz-commands.js';

const SETTINGS = {
	durationMs: integerSetting('How long to run, in milliseconds.', [0, 86_400_000], 60_000),
	seed: integerSetting('First seed; 0 derives one from the clock.', [0, 2_147_483_647], 0),
	commands: integerSetting('Maximum number of commands in one history.', [1, 1000], 60),
};

/** Histories checked with one seed. */
const HISTORIES_PER_SEED = 20;

async function main(): Promise<void> {
	const settings = readProgramSettings('fuzz', SETTINGS, import.meta.url);
	if (!settings) {
		return;
	}

	const {durationMs, commands, seed: firstSeed} = settings;
	const deadlineMs = performance.now() + durationMs;
	let seed = firstSeed === 0 ? Date.now() % 2_147_483_647 : firstSeed;
	let historyCount = 0;
	do {
		const property = fc.asyncProperty(fc.nat(), fuzzCommands(commands), async (simulationSeed, history) => runHistory(simulationSeed, history));
		const details = await fc.check(property, {seed, numRuns: HISTORIES_PER_SEED});
		historyCount += details.numRuns;
		if (details.failed && details.counterexample) {
			const cause = details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance);
			process.stdout.write(`${fc.defaultReportMessage(details) ?? ''}\n${cause}\nfailing seed: ${seed}\n`);
			process.exitCode = 1;
			return;
		}

		seed += 1;
	} while (performance.now() < deadlineMs);

	process.stdout.write(`${historyCount} histories, no violation; next seed ${seed}\n`);
}

await main();
