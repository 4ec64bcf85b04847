import process from 'node:process';
import type {Logger} from '@amaranthsail/core';

/** A program that has started. */
export type RunningProgram = {
	/** Finishes the work in progress. */
	stop(): Promise<void>;
};

/**
 * Runs a program until SIGTERM, then stops it. Handles signals from before the start until the process exits, because
 * their default action would end the process at once: a repeated SIGTERM changes nothing, nor does SIGHUP.
 *
 * @param logger - Receives a line for each signal.
 * @param start - Starts the program.
 * @returns Once the program has stopped.
 */
export async function runProgram(logger: Logger, start: () => Promise<RunningProgram>): Promise<void> {
	const stopRequested = new Promise<void>(resolve => {
		process.on('SIGTERM', () => {
			logger.info('stopping', {signal: 'SIGTERM'});
			resolve();
		});
	});
	process.on('SIGHUP', () => {
		logger.info('reload', {changed: 'nothing; addresses are read at start'});
	});
	const program = await start();
	await stopRequested;
	await program.stop();
}
