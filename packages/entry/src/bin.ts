#!/usr/bin/env node
import process from 'node:process';
import {createLogger, formatAddress, readProgramSettings} from '@amaranthsail/core';
import {EntryProgram} from './entry-program.js';
import {ENTRY_SETTINGS} from './settings.js';

const EXIT_SECOND_SIGNAL = 1;
const EXIT_CANNOT_LISTEN = 3;

async function main(): Promise<void> {
	const settings = readProgramSettings('amaranthsail-entry', ENTRY_SETTINGS, import.meta.url);
	if (!settings) {
		return;
	}

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
