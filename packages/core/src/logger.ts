import process from 'node:process';
import {createConsola} from 'consola/core';

/** Fields of a log line in addition to time, level, component and message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured log lines. */
export interface Logger {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
}

/** Log levels with their consola numbers. */
export const LOG_LEVELS = {
	error: 0, warn: 1, info: 3, debug: 4,
} as const;

/** A key of {@link LOG_LEVELS}. */
export type LogLevel = keyof typeof LOG_LEVELS;

/**
 * Creates a logger that writes one JSON object per line.
 *
 * @param component - The program or module that logs.
 * @param level - The minimum severity that is written.
 * @param write - Writes a line; to standard error by default.
 * @returns The logger.
 */
export function createLogger(
	component: string,
	level: LogLevel = 'info',
	write: (line: string) => void = line => {
		process.stderr.write(line);
	},
): Logger {
	const consola = createConsola({
		level: LOG_LEVELS[level],
		throttle: 0,
		reporters: [{
			log(entry) {
				const [message, fields] = entry.args as [string, LogFields | undefined];
				write(`${JSON.stringify({
					time: entry.date.toISOString(), level: entry.type, component, message, ...fields,
				})}\n`);
			},
		}],
	});
	return {
		debug(message, fields) {
			consola.debug(message, fields);
		},
		info(message, fields) {
			consola.info(message, fields);
		},
		warn(message, fields) {
			consola.warn(message, fields);
		},
		error(message, fields) {
			consola.error(message, fields);
		},
	};
}

function discard(): void {
	// The silent logger writes nothing.
}

/** A logger that discards everything. */
export const silentLogger: Logger = {
	debug: discard,
	info: discard,
	warn: discard,
	error: discard,
};
