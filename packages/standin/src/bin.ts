#!/usr/bin/env node
import process from 'node:process';
import {
	createLogger, formatAddress, readProgramSettings, type SettingsOf,
} from '@amaranthsail/core';
import {STANDIN_SETTINGS} from './standin-settings.js';
import {startPlatform} from './start-platform.js';
import {startWorker} from './start-worker.js';

const PROGRAM = 'amaranthsail-standin';

type RunningEmulator = {readonly addresses: Readonly<Record<string, string>>; close(): Promise<void>};

async function startRoles(settings: SettingsOf<typeof STANDIN_SETTINGS>): Promise<RunningEmulator> {
	const platform = settings.role === 'worker' ? undefined : await startPlatform(settings);
	const worker = settings.role === 'platform'
		? undefined
		: await startWorker({
			...settings,
			address: settings.role === 'all' ? settings.workerAddress : settings.address,
			agentAddress: settings.agentAddress === 'none' ? undefined : settings.agentAddress,
			objectStoreAddress: settings.objectStoreAddress === 'none' ? platform?.address : settings.objectStoreAddress,
		});
	return {
		addresses: {
			...(worker && {address: formatAddress(worker.address), workerAddress: formatAddress(worker.address)}),
			...(platform && {address: formatAddress(platform.address), statsdAddress: formatAddress(platform.statsdAddress)}),
		},
		async close() {
			await worker?.changeEndpoints({leaving: true});
			await Promise.all([platform?.close(), worker?.close()]);
		},
	};
}

async function runProgram(settings: SettingsOf<typeof STANDIN_SETTINGS>): Promise<void> {
	const logger = createLogger('standin');
	let emulator: RunningEmulator;
	try {
		emulator = await startRoles(settings);
	} catch (error) {
		logger.error('cannot start', {error: String(error)});
		// A role that is already listening would keep the process alive.
		process.exit(1);
	}

	const stop = (): void => {
		logger.info('closing');
		void emulator.close();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	logger.info('ready', {role: settings.role, ...emulator.addresses});
}

// Flags need a value; this one may be used without.
const programArguments = process.argv.slice(2).map(text => text === '--fail-everything' ? '--fail-everything=true' : text);
const settings = readProgramSettings(PROGRAM, STANDIN_SETTINGS, import.meta.url, programArguments);
if (settings) {
	await runProgram(settings);
}
