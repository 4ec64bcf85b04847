import dgram from 'node:dgram';
import {once} from 'node:events';
import {
	type Clock, type Logger, MessageCodec, newId,
} from '@amaranthsail/core';
import type {ObjectStore, WorkerRuntime} from '@amaranthsail/backing-services';
import {AgentCore} from './agent-core.js';
import {AgentDriver} from './agent-driver.js';
import type {AgentExitCode} from './agent-effect.js';
import {createAgentHttpServer} from './agent-http.js';
import type {AgentSettings} from './agent-settings.js';
import {queryOwner} from './owner-query.js';

/** Clock, clients and logger of an agent. */
export type AgentDependencies = {
	readonly clock: Clock;
	readonly runtime: WorkerRuntime;
	readonly objects: ObjectStore;
	readonly logger: Logger;
};

/** A running agent. */
export type RunningAgent = {
	/** Bound HTTP port. */
	readonly httpPort: number;
	/** Bound UDP port. */
	readonly datagramPort: number;
	/** Requests a shutdown, as SIGTERM does. */
	readonly shutDown: () => void;
	/** Resolves with the exit code once all sockets are closed. */
	readonly exited: Promise<AgentExitCode>;
};

/**
 * Binds the sockets and starts an agent.
 *
 * @param settings - Validated settings.
 * @param dependencies - Clock, platform clients and logger.
 * @returns The running agent.
 * @throws The socket error, such as `EADDRINUSE`, when an address cannot be bound.
 */
export async function runAgent(settings: AgentSettings, dependencies: AgentDependencies): Promise<RunningAgent> {
	const {clock, runtime, objects, logger} = dependencies;
	const {workerId, failureDomain, rack, entryAddresses, listenAddress, datagramAddress, sharedSecret} = settings;
	const socket = dgram.createSocket('udp4');
	socket.bind(datagramAddress.port, datagramAddress.host);
	await once(socket, 'listening');
	const datagramPort = socket.address().port;
	const core = new AgentCore({
		workerId, failureDomain, rack: rack === '' ? undefined : rack, incarnation: newId(), entryAddresses, replyPort: datagramPort, random: Math.random,
	});
	const server = createAgentHttpServer({
		status: () => core.status(clock.monotonicMs()),
		announce(announcement) {
			driver.dispatch({kind: 'announcement', announcement});
		},
	});
	let resolveExit: (code: AgentExitCode) => void;
	const exited = new Promise<AgentExitCode>(resolve => {
		resolveExit = resolve;
	});
	const driver = new AgentDriver({
		core,
		clock,
		socket,
		codec: new MessageCodec(sharedSecret),
		runtime,
		objects,
		queryOwner: async entry => queryOwner(entry, {failureDomain, sharedSecret}),
		logger,
		onExit(code) {
			socket.close();
			server.close(() => {
				resolveExit(code);
			});
			server.closeAllConnections();
		},
	});
	try {
		server.listen(listenAddress.port, listenAddress.host);
		await once(server, 'listening');
	} catch (error) {
		socket.close();
		throw error;
	}

	const address = server.address();
	const httpPort = typeof address === 'object' && address !== null ? address.port : listenAddress.port;
	socket.on('error', error => {
		logger.warn('socket error', {error: error.message});
	});
	logger.info('ready', {address: `${settings.listenAddress.host}:${httpPort}`, datagramPort, workerId, failureDomain});
	driver.start();
	return {
		httpPort,
		datagramPort,
		shutDown() {
			driver.dispatch({kind: 'shutdownRequested'});
		},
		exited,
	};
}
