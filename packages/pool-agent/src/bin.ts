#!/usr/bin/env -S node --max-semi-space-size=1
import process from 'node:process';
import {readNodeSettings} from '@amaranthsail/platform-adapter';
import {
	ErrorGuard, ProcessLog, ProcessMetrics, runProgram,
} from '@amaranthsail/pool-runtime';
import {runPoolAgent} from './pool-agent-program.js';

const settings = readNodeSettings();
const logger = new ProcessLog('pool-agent', settings.name);
const metrics = new ProcessMetrics();
new ErrorGuard(logger, metrics).install();
if (settings.workerAddress === undefined || settings.controlAddress === undefined) {
	logger.error('settings wrong', {expected: 'a worker address and a control address'});
	process.exit(2);
}

await runProgram(logger, async () => {
	logger.info('starting', {ip: settings.ip, failureDomain: settings.failureDomain});
	return runPoolAgent(settings, logger, metrics);
});
process.exit(0);
