#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import process from 'node:process';
import {readProgramSettings, type SettingsOf} from '@amaranthsail/core';
import {
	formatAgents, formatConfig, formatPath, LOAD_SETTINGS, measureAgents, measureConfig, measurePath,
} from './load/index.js';

const RESULTS_DIRECTORY = 'bench-results';

/** A process that does not stop by itself ends after this time. */
const RUN_TIMEOUT_MS = 900_000;

type Report = {readonly figures: unknown; readonly lines: readonly string[]};

async function run(settings: SettingsOf<typeof LOAD_SETTINGS>): Promise<Report> {
	switch (settings.mode) {
		case 'path': {
			const figures = await measurePath(settings);
			return {figures, lines: formatPath(figures)};
		}

		case 'agents': {
			const figures = await measureAgents(settings);
			return {figures, lines: formatAgents(figures)};
		}

		case 'config': {
			const figures = await measureConfig(settings);
			return {figures, lines: formatConfig(figures)};
		}
	}
}

const settings = readProgramSettings('amaranthsail-load', LOAD_SETTINGS, import.meta.url);
if (settings) {
	const timer = setTimeout(() => {
		console.error(`not finished after ${RUN_TIMEOUT_MS} ms`);
		process.exit(1);
	}, RUN_TIMEOUT_MS);
	try {
		const loadAverage = loadavg()[0];
		const {figures, lines} = await run(settings);
		mkdirSync(RESULTS_DIRECTORY, {recursive: true});
		writeFileSync(`${RESULTS_DIRECTORY}/load-${settings.mode}.json`, `${JSON.stringify({settings, loadAverage, figures}, undefined, '\t')}\n`);
		console.log(lines.join('\n'));
	} catch (error) {
		console.error(error instanceof Error ? error.message : String(error));
		process.exitCode = 1;
	} finally {
		clearTimeout(timer);
	}
}
