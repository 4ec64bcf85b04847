import {createServer} from 'node:net';

/**
 * Finds a free TCP port. Another process may take the port before it is used.
 *
 * @returns The port on 127.0.0.1.
 */
export async function findFreePort(): Promise<number> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			server.close(() => {
				resolve(typeof address === 'object' && address ? address.port : 0);
			});
		});
	});
}
