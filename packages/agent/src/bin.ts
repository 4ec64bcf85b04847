#!/usr/bin/env -S node --max-semi-space-size=1 --optimize-for-size
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createLogger, readSettings, SystemClock} from '@amaranthsail/core';
import {AGENT_EXIT_CODES, type AgentExitCode} from './agent-effect.js';
import {runAgent} from './agent-program.js';
import {AGENT_SETTINGS, type AgentSettings} from './agent-settings.js';
import {createPlatformClients} from './platform-clients.js';

const PROGRAM = 'amaranthsail-agent';

async function main(): Promise<number> {
	const outcome = readSettings(PROGRAM, AGENT_SETTINGS, process.argv.slice(2), process.env);
	if (!outcome.ok) {
		for (const {setting, message} of outcome.error.problems) {
			process.stderr.write(`${PROGRAM}: ${setting}: ${message}\n`);
		}

		return AGENT_EXIT_CODES.invalidSettings;
	}

	switch (outcome.value.kind) {
		case 'help': {
			process.stdout.write(outcome.value.text);
			return 0;
		}

		case 'version': {
			const {version} = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as {version: string};
			process.stdout.write(`${version}\n`);
			return 0;
		}

		case 'run': {
			return run(outcome.value.settings);
		}
	}
}

async function run(settings: AgentSettings): Promise<AgentExitCode> {
	const logger = createLogger(PROGRAM, settings.logLevel);
	const clients = createPlatformClients(settings.workerAddress, settings.objectStoreAddress);
	try {
		const agent = await runAgent(settings, {clock: new SystemClock(), logger, ...clients});
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				logger.info('shutdown requested', {signal});
				agent.shutDown();
			});
		}

		return await agent.exited;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') {
			throw error;
		}

		logger.error('address in use', {error: (error as Error).message});
		return AGENT_EXIT_CODES.addressInUse;
	}
}

// Calls that are still under way must not hold up the exit.
process.exit(await main());
