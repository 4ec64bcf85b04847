/**
 * Checks whether a network error occurred before a connection was established, so that the request was certainly not sent.
 *
 * The code alone is not enough: `ETIMEDOUT` and `EHOSTUNREACH` also end established connections.
 *
 * @param error - The error that a client threw.
 * @returns True only when no byte of the request can have reached the service.
 */
export function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		// One error for each address of the host name.
		return error.errors.length > 0 && error.errors.every(member => isConnectError(member));
	}

	if (!(error instanceof Error)) {
		return false;
	}

	const {code, syscall} = error as {code?: unknown; syscall?: unknown};
	return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect' || syscall === 'getaddrinfo';
}

/**
 * Describes an error in one line.
 *
 * @param error - The error that a client threw.
 * @returns Message and code.
 */
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	const {code} = error as {code?: unknown};
	return typeof code === 'string' && !error.message.includes(code) ? `${error.message} (${code})` : error.message || error.name;
}
