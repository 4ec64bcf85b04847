import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	JsonClient, type Logger, parseJson, SystemClock,
} from '@amaranthsail/core';
import {
	decodeHeartbeat, decodeLeave, type NodeSettings, parseWorkerCall, RowStore, WorkerClient,
} from '@amaranthsail/platform-adapter';
import {
	decodeLeaderRow, leaseMsWithin, LEADER_KEY, type PoolStore, TABLES,
} from '@amaranthsail/pool';
import {
	answerSafely, answerWithoutBody, BoundedServer, decoded, ErrorGuard, GracefulServer, listen, listenerLimits, ListenerMonitor, type ListenerOptions, MAX_INTERNAL_BODY_BYTES, type ProcessMetrics, receiveBody, refusalAnswer, refusalHeaders, type RouteHandler, sendJson, serveJson, sleep,
} from '@amaranthsail/pool-runtime';
import {decodeOrderRequest, decodeWatchRequest} from './agent-message-decoding.js';
import {PoolAgentCore} from './pool-agent-core.js';
import {
	AGENT_PATHS, ANNOUNCE_PATH, type AnnounceRequest,
} from './agent-messages.js';

/** Interval at which the agent checks whether it has to announce itself. */
const ANNOUNCE_INTERVAL_MS = 700;

/** The agent announces itself when no leader has called for this time. */
const ANNOUNCE_AFTER_SILENCE_MS = 1300;

const STORE_TIMEOUT_MS = 1500;

/** An entry answers an announcement at once. */
const ANNOUNCE_TIMEOUT_MS = 800;

/** Time before the end of the grace time at which the agent exits even if the worker or the store has not answered. */
const STOP_MARGIN_MS = 1000;

/** A running agent. */
export type RunningPoolAgent = {
	/** Answers the requests in progress and stops serving, within the grace time; runs on the worker continue until its lease expires. */
	stop(): Promise<void>;
};

/**
 * Runs the agent of a worker.
 *
 * @param settings - Settings of this process.
 * @param logger - Receives log lines.
 * @param metrics - Receives counters.
 * @returns The running agent, once its servers listen.
 */
export async function runPoolAgent(settings: NodeSettings, logger: Logger, metrics: ProcessMetrics): Promise<RunningPoolAgent> {
	const store = new RowStore(settings.storeAddress);
	const core = new PoolAgentCore({
		clock: new SystemClock(),
		logger,
		store,
		worker: new WorkerClient(settings.workerAddress!),
		leaseMs: leaseMsWithin(settings.bounds.maxLeaseMs),
		incarnation: `${settings.name}/${Date.now()}`,
		sleep,
	});
	const address = `${settings.ip}:${settings.peerPort}`;
	const guard = new ErrorGuard(logger, metrics);
	const routes: Record<string, RouteHandler> = {
		[AGENT_PATHS.watch]: decoded(decodeWatchRequest, async request => ({status: 200, body: await core.onWatch(request)})),
		[AGENT_PATHS.order]: decoded(decodeOrderRequest, async request => {
			metrics.count('orders_relayed', {kind: request.order.kind});
			return {status: 200, body: await core.onOrder(request)};
		}),
	};
	const observer = new ListenerMonitor(logger, metrics);
	const optionsOf = (name: 'peers' | 'control' | 'metrics'): ListenerOptions => ({
		limits: listenerLimits(settings.clientLimits, name, {maxBodyBytes: name === 'metrics' ? 0 : MAX_INTERNAL_BODY_BYTES, isInternal: name !== 'metrics'}), observer,
	});
	const servers: readonly GracefulServer[] = [
		new GracefulServer(await serveJson(address, routes, (path, error) => {
			guard.record('leader request', error, {path});
		}, optionsOf('peers'))),
		new GracefulServer(await listen(createControlServer(core, guard, logger, metrics, optionsOf('control')), settings.controlAddress!)),
		new GracefulServer(await metrics.serve(`${settings.ip}:${settings.metricsPort}`, optionsOf('metrics'))),
	];
	const stopping = new AbortController();
	void guard.supervise('announcing', async () => {
		await registerMember(store, settings.name, address, logger);
		while (!stopping.signal.aborted) {
			if (core.leaderSilentMs > ANNOUNCE_AFTER_SILENCE_MS) {
				await announce(store, settings, {agent: settings.name, address}, logger);
			}

			await sleep(ANNOUNCE_INTERVAL_MS);
		}
	});
	const polling = guard.supervise('worker polls', async () => core.run());
	return {
		async stop() {
			stopping.abort();
			core.stop();
			const closed = servers.map(async server => server.close());
			await Promise.race([Promise.all([...closed, polling]), sleep(settings.bounds.shutdownGraceMs - STOP_MARGIN_MS)]);
		},
	};
}

/** Stores the agent's address, so that a new leader finds it at once. */
async function registerMember(store: PoolStore, name: string, address: string, logger: Logger): Promise<void> {
	const stored = await store.transact([], [{table: TABLES.members, key: name, value: {address}}], STORE_TIMEOUT_MS);
	if (!stored.ok) {
		logger.warn('member not registered', {error: stored.error.kind});
	}
}

/** Announces the agent's address to the leader that the store names, or to the seeds when there is none or no answer. */
async function announce(store: PoolStore, settings: NodeSettings, request: AnnounceRequest, logger: Logger): Promise<void> {
	const page = await store.read(TABLES.leader, {from: LEADER_KEY}, STORE_TIMEOUT_MS);
	const leader = page.ok ? decodeLeaderRow(page.value.rows[0]?.value) : undefined;
	const addresses = leader && leader.holder !== '' ? [leader.address] : settings.seedIps.map(ip => `${ip}:${settings.peerPort}`);
	for (const address of addresses) {
		const client = new JsonClient(address, 1);
		const answer = await client.call({method: 'POST', path: ANNOUNCE_PATH, body: request, timeoutMs: ANNOUNCE_TIMEOUT_MS});
		client.close();
		logger.info('announced', {to: address, epoch: leader?.epoch ?? 0, outcome: answer.ok ? answer.value.status : answer.error.kind});
		if (answer.ok && answer.value.status === 200) {
			return;
		}
	}
}

/** Server for the heartbeats and the deregistration of the worker on the same VM. */
function createControlServer(core: PoolAgentCore, guard: ErrorGuard, logger: Logger, metrics: ProcessMetrics, {limits, observer}: ListenerOptions): Server {
	return new BoundedServer(limits, observer, (message, response) => {
		void answerSafely(message, response, async () => serveWorker(message, response), (path, error) => {
			guard.record('worker request', error, {path});
		});
	});

	async function serveWorker(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const call = parseWorkerCall(message.method ?? '', message.url ?? '');
		if (!call) {
			await answerWithoutBody(message, response, limits, {status: 404});
			return;
		}

		const received = await receiveBody(message, limits);
		if (!received) {
			response.destroy();
			return;
		}

		if ('refusal' in received) {
			sendJson(response, refusalAnswer(received.refusal), refusalHeaders(received.refusal));
			return;
		}

		const {text} = received;

		if (call.kind === 'leave') {
			core.onLeave(call.workerId, decodeLeave(parseJson(text)));
			sendJson(response, {status: 200, body: {}});
			return;
		}

		const heartbeat = decodeHeartbeat(call.workerId, parseJson(text));
		if ('problem' in heartbeat) {
			logger.warn('heartbeat refused', {worker: call.workerId, problem: heartbeat.problem});
			metrics.count('heartbeats', {outcome: 'refused'});
			sendJson(response, {status: 400, body: heartbeat});
			return;
		}

		metrics.count('heartbeats', {outcome: 'taken'});
		core.onHeartbeat(heartbeat.facts, heartbeat.sequence, heartbeat.startedAtMs);
		sendJson(response, {status: 200, body: {}});
	}
}
