#!/usr/bin/env node
import process from 'node:process';
import {
	createLogger,
	EXIT_INVALID_SETTINGS,
	formatAddress,
	readSettings,
} from '@amaranthsail/core';
import {EntryProgram} from './entry-program.js';
import {ENTRY_SETTINGS} from './settings.js';

const VERSION = '0.1.0';
const PROGRAM = 'amaranthsail-entry';
const EXIT_SECOND_SIGNAL = 1;
const EXIT_CANNOT_LISTEN = 3;

async function main(): Promise<void> {
	const outcome = readSettings(PROGRAM, ENTRY_SETTINGS, process.argv.slice(2), process.env);
	if (!outcome.ok) {
		for (const problem of outcome.error.problems) {
			process.stderr.write(`${problem.setting}: ${problem.message}\n`);
		}

		process.exitCode = EXIT_INVALID_SETTINGS;
		return;
	}

	if (outcome.value.kind !== 'run') {
		process.stdout.write(outcome.value.kind === 'help' ? outcome.value.text : `${VERSION}\n`);
		return;
	}

	const {settings} = outcome.value;
	const logger = createLogger('entry', settings.logLevel);
	let isDraining = false;
	const shutDown = (): void => {
		if (isDraining) {
			logger.warn('second signal: closing at once');
			process.exit(EXIT_SECOND_SIGNAL);
		}

		isDraining = true;
		void program.drain().then(() => {
			logger.info('stopped');
			process.exit(0);
		});
	};

	const program = new EntryProgram(settings, logger, shutDown);
	try {
		const address = await program.start();
		logger.info('ready', {address: formatAddress(address)});
	} catch (error) {
		logger.error('cannot listen', {error: String(error)});
		process.exit(EXIT_CANNOT_LISTEN);
	}

	process.on('SIGTERM', shutDown);
	process.on('SIGINT', shutDown);
}

await main();
