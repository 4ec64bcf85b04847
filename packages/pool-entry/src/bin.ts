#!/usr/bin/env -S node --max-semi-space-size=1
import process from 'node:process';
import {readNodeSettings} from '@amaranthsail/platform-adapter';
import {ErrorGuard, ProcessLog, ProcessMetrics} from '@amaranthsail/pool-runtime';
import {PoolEntryProgram} from './pool-entry-program.js';

const settings = readNodeSettings();
const logger = new ProcessLog('pool-entry', settings.name);
const metrics = new ProcessMetrics();
new ErrorGuard(logger, metrics).install();
if (settings.callerAddress === undefined || settings.readinessAddress === undefined) {
	logger.error('settings wrong', {expected: 'a caller address and a readiness address'});
	process.exit(2);
}

logger.info('starting', {ip: settings.ip, failureDomain: settings.failureDomain});
const entry = new PoolEntryProgram(settings, logger, metrics);
await entry.start();
process.once('SIGTERM', () => {
	logger.info('stopping', {signal: 'SIGTERM'});
	void (async () => {
		await entry.stop();
		process.exit(0);
	})();
});
process.on('SIGHUP', () => {
	logger.info('reload', {changed: 'nothing; addresses are read at start'});
});
