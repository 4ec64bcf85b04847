#!/usr/bin/env -S node --max-semi-space-size=1 --optimize-for-size
import process from 'node:process';
import {createLogger, readProgramSettings, SystemClock} from '@amaranthsail/core';
import {AGENT_EXIT_CODES, type AgentExitCode} from './agent-effect.js';
import {runAgent} from './agent-program.js';
import {AGENT_SETTINGS, type AgentSettings} from './agent-settings.js';
import {createPlatformClients} from './platform-clients.js';

const PROGRAM = 'amaranthsail-agent';

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

const settings = readProgramSettings(PROGRAM, AGENT_SETTINGS, import.meta.url);
if (settings) {
	// Exits explicitly, because calls in flight would keep the process alive.
	process.exit(await run(settings));
}
