import {createServer} from 'node:http';
import {expect} from 'chai';
import {JsonClient, silentLogger, SystemClock} from '@amaranthsail/core';
import type {PoolConfig, Queue, StoredRow} from '@amaranthsail/pool';
import {
	DEFAULT_LISTENER_LIMITS, listen, ProcessMetrics, sleep,
} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore} from './support.js';
import {CallerApi, type CallerApiDependencies} from '@amaranthsail/pool-entry/caller-api.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import type {JobRequestOutcome} from '@amaranthsail/pool-entry/job-request-outcome.js';
import {JobService} from '@amaranthsail/pool-entry/job-service.js';

const JOB_ID = '00000000000000a1';

const BODY = {spec: 'work', steps: [{count: 1}]};

const CONFIG = {table: 'configurations', key: 'newest'};

/** How long a stopping entry takes to answer requests in progress, at most. */
const END_TIMEOUT_MS = 500;

type Jobs = CallerApiDependencies['jobs'];

type Fixture = {
	readonly store: MemoryPoolStore;
	readonly api: CallerApi;
	readonly call: (method: string) => Promise<number | string>;
	readonly close: () => void;
};

/** @returns Jobs of which no request is ever refused for good. */
function fakeJobs(mayTakeEffect: boolean): Jobs {
	return {
		submit: async () => ({kind: 'configuration_changed'}),
		cancel: async () => ({kind: 'configuration_changed'}),
		state: async () => ({kind: 'configuration_changed'}),
		stop: () => undefined,
		maySubmitTakeEffect: () => mayTakeEffect,
		mayCancelTakeEffect: () => mayTakeEffect,
	};
}

async function serveApi(options: {readonly jobs?: Jobs; readonly isPublic?: (check: number) => boolean; readonly isConfigUsable?: boolean; readonly configMethods?: {readonly refresh: () => Promise<undefined>; readonly isReceiving: () => boolean}} = {}): Promise<Fixture> {
	const store = new MemoryPoolStore();
	const clock = new SystemClock();
	let host = '';
	let reads = 0;
	const decode = (row: StoredRow): PoolConfig => {
		const queue: Queue = {
			name: 'q', host, pathPrefix: '/q/', isPublic: options.isPublic?.(reads) ?? true, service: 's', priority: 1, maxAttempts: 3, stretch: 3, targetLatencyMs: 1000,
		};
		return {version: row.version, queues: [queue], accounts: []};
	};

	const config = new ConfigFollower(store, {...CONFIG, decode}, clock, silentLogger);
	const refresh = config.refresh.bind(config);
	config.refresh = async timeoutMs => {
		reads++;
		store.put(CONFIG.table, CONFIG.key, {});
		return refresh(timeoutMs);
	};

	if (options.configMethods) {
		config.refresh = options.configMethods.refresh;
		Object.defineProperty(config, 'isReceiving', {get: options.configMethods.isReceiving});
	}

	const jobs = options.jobs ?? new JobService({
		store, clock, logger: silentLogger, metrics: new ProcessMetrics(), config, leader: () => undefined, storedJob: () => undefined, leaderAddress: () => undefined, entries: () => [],
	});
	const api = new CallerApi({
		clock, logger: silentLogger, metrics: new ProcessMetrics(), config, jobs, isConfigUsable: () => options.isConfigUsable ?? true, pendingCount: () => undefined, limits: DEFAULT_LISTENER_LIMITS,
	});
	const server = await listen(createServer((message, response) => {
		void api.serve(message, response);
	}), '127.0.0.1:0');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	host = '127.0.0.1';
	config.applyIfNewer(store.put(CONFIG.table, CONFIG.key, {}), 'test');
	config.markConfirmed();
	const client = new JsonClient(`127.0.0.1:${port}`);
	return {
		store,
		api,
		async call(method) {
			const answer = await client.call({method, path: `/q/${JOB_ID}`, headers: {host}, ...(method === 'POST' && {body: BODY}), timeoutMs: 3000});
			return answer.ok ? answer.value.status : answer.error.message;
		},
		close() {
			client.close();
			server.closeAllConnections();
			server.close();
		},
	};
}

describe('CallerApi', () => {
	const refusals: ReadonlyArray<{readonly title: string; readonly options: Parameters<typeof serveApi>[0]; readonly status: number}> = [
		{title: 'the configuration keeps changing', options: {}, status: 503},
		{title: 'its key has been dropped meanwhile', options: {isPublic: check => check === 0}, status: 401},
		{title: 'there is no current configuration', options: {isConfigUsable: false}, status: 503},
	];
	for (const {title, options, status} of refusals) {
		for (const method of ['POST', 'DELETE']) {
			// These checks answered on their own, though an earlier write for the same job had got no answer.
			it(`answers 504 to a ${method} that may take effect, and ${status} to another, when ${title}`, async () => {
				const unknown = await serveApi({...options, jobs: fakeJobs(true)});
				const refused = await serveApi({...options, jobs: fakeJobs(false)});
				expect([await unknown.call(method), await refused.call(method)]).to.deep.equal([504, status]);
				unknown.close();
				refused.close();
			});
		}
	}

	const outcomes: ReadonlyArray<{readonly method: string; readonly outcome: JobRequestOutcome; readonly status: number}> = [
		{method: 'DELETE', outcome: {kind: 'no_such_job', isFinal: true}, status: 410},
		{method: 'DELETE', outcome: {kind: 'too_many_cancellations'}, status: 429},
		{method: 'POST', outcome: {kind: 'cancelled'}, status: 409},
	];
	for (const {method, outcome, status} of outcomes) {
		it(`answers ${status} to a ${method} with the outcome ${outcome.kind}`, async () => {
			const fixture = await serveApi({jobs: {...fakeJobs(false), submit: async () => outcome, cancel: async () => outcome}});
			expect(await fixture.call(method)).to.equal(status);
			fixture.close();
		});
	}

	// A 410 was followed by a state, or a 409 by a job, at entries that read the cancelled id in different ways.
	it('answers to an id that was cancelled before it was used as if it did not exist', async () => {
		const fixture = await serveApi();
		const statuses = [await fixture.call('DELETE'), await fixture.call('GET'), await fixture.call('POST'), await fixture.call('GET'), await fixture.call('DELETE')];
		expect(statuses).to.deep.equal([410, 410, 409, 410, 410]);
		fixture.close();
	});

	it('answers 401 to a request with an unknown key, whatever has become of an earlier one for that job', async () => {
		const fixture = await serveApi({jobs: fakeJobs(true), isPublic: () => false});
		expect(await fixture.call('POST')).to.equal(401);
		fixture.close();
	});
});

describe('CallerApi while the store sends a changed configuration', () => {
	const accepted: Jobs = {
		...fakeJobs(false), submit: async () => ({kind: 'accepted'}), state: async () => ({kind: 'state', state: 'running'}),
	};
	const cases: ReadonlyArray<{readonly title: string; readonly method: string; readonly isReceivedInTime: boolean; readonly status: number}> = [
		{title: 'answers 503 to a job that could only be checked against the old one', method: 'POST', isReceivedInTime: false, status: 503},
		{title: 'accepts a job once it has arrived', method: 'POST', isReceivedInTime: true, status: 200},
		{title: 'does not let a state wait', method: 'GET', isReceivedInTime: false, status: 200},
	];
	for (const {title, method, isReceivedInTime, status} of cases) {
		it(title, async () => {
			let isReceiving = true;
			const fixture = await serveApi({
				jobs: accepted, configMethods: {
					async refresh() {
						isReceiving = !isReceivedInTime;
						return undefined;
					},
					isReceiving: () => isReceiving,
				},
			});
			expect(await fixture.call(method)).to.equal(status);
			fixture.close();
		});
	}
});

describe('CallerApi at the end of its process', () => {
	// All requests in progress were answered with 504, also those that had written nothing.
	it('answers 503 to a job of which nothing has been written, and writes nothing of it later', async () => {
		const {store, api, call, close} = await serveApi();
		store.fault = 'refuse';
		const answer = call('POST');
		await sleep(100);
		api.end();
		expect(await answer).to.equal(503);
		store.fault = 'none';
		await sleep(300);
		expect([...store.rows.keys()].filter(key => key.startsWith('jobs/'))).to.deep.equal([]);
		close();
	});

	const unsettled: ReadonlyArray<{readonly title: string; readonly fault: 'lose_call' | 'slow'}> = [
		{title: 'whose write is in progress', fault: 'slow'},
		{title: 'whose write got no answer', fault: 'lose_call'},
	];
	for (const {title, fault} of unsettled) {
		it(`answers 504 to a job ${title}`, async () => {
			const {store, api, call, close} = await serveApi();
			store.fault = fault;
			const answer = call('POST');
			await sleep(80);
			const endedAtMs = performance.now();
			api.end();
			expect(await answer).to.equal(504);
			expect(performance.now() - endedAtMs).to.be.below(END_TIMEOUT_MS);
			close();
		});
	}

	const late: ReadonlyArray<{readonly method: string; readonly status: number}> = [
		{method: 'POST', status: 503},
		{method: 'DELETE', status: 503},
		{method: 'GET', status: 503},
	];
	for (const {method, status} of late) {
		it(`answers ${status} to a ${method} that arrives afterwards`, async () => {
			const {api, call, close} = await serveApi();
			api.end();
			expect(await call(method)).to.equal(status);
			close();
		});
	}
});
