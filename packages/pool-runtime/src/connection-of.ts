import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import {BoundedConnection} from './bounded-connection.js';

/** @returns The connection of a request, or undefined if its server has no limits. */
export function connectionOf(message: IncomingMessage): BoundedConnection | undefined {
	// Node.js declares only sockets, and accepts any duplex stream.
	const connection: Duplex = message.socket;
	return connection instanceof BoundedConnection ? connection : undefined;
}
