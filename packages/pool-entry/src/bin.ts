#!/usr/bin/env -S node --max-semi-space-size=1
import process from 'node:process';
import {readNodeSettings} from '@amaranthsail/platform-adapter';
import {
	ErrorGuard, ProcessLog, ProcessMetrics, runProgram,
} from '@amaranthsail/pool-runtime';
import {PoolEntryProgram} from './pool-entry-program.js';

const settings = readNodeSettings();
const logger = new ProcessLog('pool-entry', settings.name);
const metrics = new ProcessMetrics();
new ErrorGuard(logger, metrics).install();
if (settings.callerAddress === undefined || settings.readinessAddress === undefined) {
	logger.error('settings wrong', {expected: 'a caller address and a readiness address'});
	process.exit(2);
}

await runProgram(logger, async () => {
	logger.info('starting', {ip: settings.ip, failureDomain: settings.failureDomain});
	const entry = new PoolEntryProgram(settings, logger, metrics);
	await entry.start();
	return entry;
});
process.exit(0);
