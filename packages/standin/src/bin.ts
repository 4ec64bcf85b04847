#!/usr/bin/env node
import process from 'node:process';
import {
	createLogger, formatAddress, readProgramSettings, type SettingsOf,
} from '@amaranthsail/core';
import {standinSettings} from './standin-settings.js';
import {startPlatform} from './start-platform.js';
import {startWorker} from './start-worker.js';

const PROGRAM = 'amaranthsail-standin';

type Started = {readonly addresses: Readonly<Record<string, string>>; close(): Promise<void>};

async function start(settings: SettingsOf<typeof standinSettings>): Promise<Started> {
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

async function run(settings: SettingsOf<typeof standinSettings>): Promise<void> {
	const logger = createLogger('standin');
	let started: Started;
	try {
		started = await start(settings);
	} catch (error) {
		logger.error('cannot start', {error: String(error)});
		// One role may be listening already.
		process.exit(1);
	}

	const stop = (): void => {
		logger.info('closing');
		void started.close();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	logger.info('ready', {role: settings.role, ...started.addresses});
}

// Every flag has a value; this one may be given without.
const argumentTexts = process.argv.slice(2).map(text => text === '--fail-everything' ? '--fail-everything=true' : text);
const settings = readProgramSettings(PROGRAM, standinSettings, import.meta.url, argumentTexts);
if (settings) {
	await run(settings);
}
