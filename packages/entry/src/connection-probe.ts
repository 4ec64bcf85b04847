import {connect} from 'node:net';
import type {Address} from '@amaranthsail/core';

/**
 * Tells whether nothing listens at an address.
 *
 * @param address - The TCP address.
 * @param timeoutMs - Longest wait.
 * @returns True only when the connection is refused; an unreachable machine proves nothing.
 */
export async function isConnectionRefused(address: Address, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({host: address.host, port: address.port, timeout: timeoutMs});
		const settle = (isRefused: boolean): void => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.once('connect', () => {
			settle(false);
		});
		socket.once('timeout', () => {
			settle(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			settle(error.code === 'ECONNREFUSED');
		});
	});
}
