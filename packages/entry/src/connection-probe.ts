import {connect} from 'node:net';
import type {Address} from '@amaranthsail/core';

/**
 * Checks whether connections to an address are refused because no process listens there.
 *
 * @param address - The TCP address.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @returns True only when the connection is refused. An unreachable VM gives false, since a process may still run there.
 */
export async function isConnectionRefused(address: Address, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({host: address.host, port: address.port, timeout: timeoutMs});
		const finish = (isRefused: boolean): void => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.once('connect', () => {
			finish(false);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
