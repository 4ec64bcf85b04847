import process from 'node:process';
import {createConsola} from 'consola/core';

/** Fields of a log line beside time, level, component and message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured log lines. */
export interface Logger {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
}

/** Names of log levels and the consola numbers behind them. */
export const LOG_LEVELS = {
	error: 0, warn: 1, info: 3, debug: 4,
} as const;

/** One of the names of {@link LOG_LEVELS}. */
export type LogLevel = keyof typeof LOG_LEVELS;

/**
 * Makes a logger that writes one JSON object a line to standard error.
 *
 * @param component - The program or module that writes.
 * @param level - The least important level that is written.
 * @param write - Takes each line; standard error by default.
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

function drop(): void {
	// The silent logger writes nothing.
}

/** A logger that drops everything. */
export const silentLogger: Logger = {
	debug: drop,
	info: drop,
	warn: drop,
	error: drop,
};
