import {createSocket} from 'node:dgram';
import {expect} from 'chai';
import {HttpTableStore} from '@amaranthsail/backing-services';
import {errorKindOf, valueOf, writeRow} from './contracts/table-store-cases.js';
import {fetchJson} from './fetch-json.js';
import {waitUntil} from './wait-until.js';
import {startPlatform, type RunningPlatform} from '@amaranthsail/standin';

describe('startPlatform', () => {
	let platform: RunningPlatform;
	let store: HttpTableStore;

	beforeEach(async () => {
		platform = await startPlatform();
		store = new HttpTableStore({address: platform.address, timeoutMs: 200});
	});

	afterEach(async () => {
		await store.close();
		await platform.close();
	});

	// Guards against a fault that stays active after its test, or a misspelt switch that is ignored.
	it('sets faults over HTTP and refuses unknown switches', async () => {
		expect(await fetchJson(platform.address, 'PUT', '/v1/faults', {unavialable: true})).to.include({status: 400});
		expect(valueOf(await store.get('jobs', 'a'))).to.equal(undefined);
		expect(await fetchJson(platform.address, 'PUT', '/v1/faults', {unavailable: true})).to.include({status: 200});
		expect(errorKindOf(await store.get('jobs', 'a'))).to.equal('unavailable');
		expect(await fetchJson(platform.address, 'DELETE', '/v1/faults')).to.include({status: 200});
		expect(valueOf(await store.get('jobs', 'a'))).to.equal(undefined);
	});

	// Guards against a client that treats its timeout as proof that nothing was written.
	it('applies a slow transaction after its client has timed out', async () => {
		await fetchJson(platform.address, 'PUT', '/v1/faults', {latencyMs: 1500, operations: ['transact']});
		expect(errorKindOf(await store.transact(writeRow('a', 0, {n: 1})))).to.equal('outcome_unknown');
		expect(valueOf(await store.get('jobs', 'a'))).to.equal(undefined);
		await waitUntil(async () => valueOf(await store.get('jobs', 'a'))?.version === 1);
	});

	// Guards against an invalid body that still changes something.
	it('rejects bodies that are not transactions', async () => {
		for (const body of [{}, {writeId: 'w', conditions: [], writes: [{table: 'jobs', key: 'a'}]}, {writeId: 'w', conditions: [{table: 'jobs', key: 'a', version: -1}], writes: []}]) {
			const response = await fetchJson(platform.address, 'POST', '/v1/transactions', body);
			expect(response.status).to.equal(400);
			expect(response.body).to.include({kind: 'rejected'});
		}
	});

	// Guards against load measurements that miss requests or count them twice.
	it('counts reads and writes', async () => {
		valueOf(await store.transact(writeRow('a', 0, {})));
		await store.transact(writeRow('a', 0, {}));
		valueOf(await store.get('jobs', 'a'));
		valueOf(await store.scan('jobs', {limit: 5}));
		const {body} = await fetchJson(platform.address, 'GET', '/v1/counters');
		expect(body).to.deep.equal({
			reads: 2, rowsRead: 2, transactions: 2, writes: 1, conditionsFailed: 1, objects: 0,
		});
		await fetchJson(platform.address, 'DELETE', '/v1/counters');
		expect(platform.counters.transactions).to.equal(0);
	});

	// Guards against metrics that tests cannot check.
	it('keeps StatsD lines by name', async () => {
		const socket = createSocket('udp4');
		socket.send('jobs.done:1|c|#account:a\njobs.wait:12|ms\njobs.done:2|c', platform.statsdAddress.port, platform.statsdAddress.host);
		const metrics = async (): Promise<Record<string, {count: number; lines: string[]}>> => {
			const {body} = await fetchJson(platform.address, 'GET', '/v1/metrics');
			return (body as {metrics: Record<string, {count: number; lines: string[]}>}).metrics;
		};

		await waitUntil(async () => {
			const received = await metrics();
			return received['jobs.done']?.count === 2;
		});
		socket.close();
		expect(await metrics()).to.deep.equal({
			'jobs.done': {count: 2, lines: ['jobs.done:1|c|#account:a', 'jobs.done:2|c']},
			'jobs.wait': {count: 1, lines: ['jobs.wait:12|ms']},
		});
	});
});
