#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import process from 'node:process';
import {readProgramSettings, type SettingsOf} from '@amaranthsail/core';
import {
	formatAgents, formatConfig, formatPath, LOAD_SETTINGS, measureAgents, measureConfig, measurePath,
} from './load/index.js';

const RESULTS_DIRECTORY = 'bench-results';

/** Time limit of the whole measurement, in case a started process hangs. */
const MEASUREMENT_TIMEOUT_MS = 900_000;

type MeasurementReport = {readonly figures: unknown; readonly lines: readonly string[]};

async function measure(settings: SettingsOf<typeof LOAD_SETTINGS>): Promise<MeasurementReport> {
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
		console.error(`measurement not finished within ${MEASUREMENT_TIMEOUT_MS} ms`);
		process.exit(1);
	}, MEASUREMENT_TIMEOUT_MS);
	try {
		const loadAverage = loadavg()[0];
		const {figures, lines} = await measure(settings);
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
