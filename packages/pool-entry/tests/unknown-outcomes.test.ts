import {expect} from 'chai';
import {err, silentLogger, SystemClock} from '@amaranthsail/core';
import {cancellationKey, type StoredRow, TABLES} from '@amaranthsail/pool';
import {ProcessMetrics, type RouteHandler} from '@amaranthsail/pool-runtime';
import {
	JOB_ROW, MemoryPoolStore, servePeer, type StoreFault,
} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import {JobService, type JobServiceDependencies} from '@amaranthsail/pool-entry/job-service.js';
import {decodeRelayRequest} from '@amaranthsail/pool-entry/peer-message-decoding.js';
import {PEER_PATHS} from '@amaranthsail/pool-entry/peer-messages.js';

const TIMES = {budgetMs: 250, deadlineMs: 250};

const CONFIG = {table: 'configurations', key: 'newest'};

const openPeers: Array<{readonly close: () => void}> = [];

/** @returns Address of a peer that handles relayed requests in this way. */
async function relayPeer(handler: RouteHandler): Promise<string> {
	const peer = await servePeer({[PEER_PATHS.relay]: handler});
	openPeers.push(peer);
	return peer.address;
}

type Entry = {readonly service: JobService; readonly config: ConfigFollower};

function createEntry(store: MemoryPoolStore, configRow: StoredRow | undefined, deps: Partial<JobServiceDependencies> = {}): Entry {
	const clock = new SystemClock();
	const config = new ConfigFollower(store, {...CONFIG, decode: row => ({version: row.version, queues: [], accounts: []})}, clock, silentLogger);
	if (configRow) {
		config.applyIfNewer(configRow, 'test');
		config.markConfirmed();
	}

	const service = new JobService({
		store, clock, logger: silentLogger, metrics: new ProcessMetrics(), config, leader: () => undefined, storedJob: () => undefined, leaderAddress: () => undefined, entries: () => [], ...deps,
	});
	return {service, config};
}

/** Applies one fault to the next transaction, and another to all calls after it. */
function failNext(store: MemoryPoolStore, next: StoreFault, later: StoreFault): void {
	const transact = store.transact.bind(store);
	store.fault = 'none';
	let isFirst = true;
	store.transact = async (conditions, writes, timeoutMs) => {
		store.fault = isFirst ? next : store.fault;
		const result = await transact(conditions, writes, timeoutMs);
		store.fault = isFirst ? later : store.fault;
		isFirst = false;
		return result;
	};
}

function relayTo(entry: Entry): RouteHandler {
	return async body => entry.service.onRelay(decodeRelayRequest(body)!);
}

afterEach(() => {
	for (const peer of openPeers.splice(0)) {
		peer.close();
	}
});

describe('a job whose write got no answer', () => {
	type Peer = {readonly title: string; readonly handler: (store: MemoryPoolStore, configRow: StoredRow) => RouteHandler};
	const peers: readonly Peer[] = [
		{title: 'knows no configuration', handler: store => relayTo(createEntry(store, undefined))},
		{title: 'knows a newer configuration', handler: (store, row) => relayTo(createEntry(store, {...row, version: row.version + 1}))},
		{title: 'cannot reach the store', handler: (store, row) => relayTo(createEntry(store, row))},
		{title: 'fails while it handles the request', handler: () => () => ({status: 500})},
		{title: 'answers unreadably', handler: () => () => ({status: 200, body: 7})},
	];
	for (const {title, handler} of peers) {
		// The relay's answer replaced the unknown outcome, so the caller was told that a stored job never runs.
		it(`is not refused after a relay to an entry that ${title}`, async () => {
			const store = new MemoryPoolStore();
			const configRow = store.put(CONFIG.table, CONFIG.key, {});
			const peer = await relayPeer(handler(store, configRow));
			const {service} = createEntry(store, configRow, {entries: () => [peer]});
			failNext(store, 'lose_answer', 'refuse');
			expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'unknown'});
			expect(store.rows.has(`${TABLES.jobs}/j1`)).to.equal(true);
			expect(service.maySubmitTakeEffect('j1')).to.equal(true);
		});
	}

	const received: ReadonlyArray<{readonly title: string; readonly status: number; readonly outcome: string}> = [
		{title: 'is unknown if another entry failed after it had received it', status: 500, outcome: 'unknown'},
		{title: 'is refused if another entry rejected the call as malformed', status: 400, outcome: 'not_stored'},
	];
	for (const {title, status, outcome} of received) {
		it(`by a relay only ${title}`, async () => {
			const store = new MemoryPoolStore();
			const configRow = store.put(CONFIG.table, CONFIG.key, {});
			const peer = await relayPeer(() => ({status}));
			const {service} = createEntry(store, configRow, {entries: () => [peer]});
			store.fault = 'refuse';
			expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: outcome});
		});
	}

	// The store has replaced the configuration on which the write depended, so it can no longer take effect.
	it('is refused truly once the store holds a newer configuration and no such job', async () => {
		const store = new MemoryPoolStore();
		const configRow = store.put(CONFIG.table, CONFIG.key, {});
		const {service} = createEntry(store, configRow);
		store.fault = 'lose_call';
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'unknown'});
		store.put(CONFIG.table, CONFIG.key, {});
		store.fault = 'none';
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'configuration_changed'});
		expect(service.maySubmitTakeEffect('j1')).to.equal(false);
		store.fault = 'refuse';
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'not_stored'});
	});

	it('stays unknown if the write depended on a newer configuration than the replaced one', async () => {
		const store = new MemoryPoolStore();
		const older = store.put(CONFIG.table, CONFIG.key, {});
		const newer = store.put(CONFIG.table, CONFIG.key, {});
		const {service} = createEntry(store, older);
		store.fault = 'lose_call';
		await service.onRelay({
			kind: 'submit', jobId: 'j1', row: JOB_ROW, configRowVersion: newer.version, budgetMs: 100,
		});
		store.fault = 'none';
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow: older, ...TIMES})).to.deep.equal({kind: 'configuration_changed'});
		expect(service.maySubmitTakeEffect('j1')).to.equal(true);
	});

	it('is accepted by an entry without a configuration that reaches the store', async () => {
		const store = new MemoryPoolStore();
		const configRow = store.put(CONFIG.table, CONFIG.key, {});
		const {service, config} = createEntry(store, undefined);
		config.markConfirmed();
		const answer = await service.onRelay({
			kind: 'submit', jobId: 'j1', row: JOB_ROW, configRowVersion: configRow.version, budgetMs: 100,
		});
		expect(answer.body).to.deep.equal({kind: 'accepted'});
	});
});

describe('a job that the leader knows to be stored', () => {
	const stored = {account: 'north', isCancelled: false, hasEnded: false};
	const cases: ReadonlyArray<{readonly title: string; readonly isRelayed: boolean; readonly account: string; readonly outcome: string}> = [
		{title: 'is accepted', isRelayed: false, account: 'north', outcome: 'accepted'},
		{title: 'is accepted through another entry', isRelayed: true, account: 'north', outcome: 'accepted'},
		{title: 'is in conflict with a job of another account', isRelayed: false, account: 'south', outcome: 'conflict'},
	];
	for (const {title, isRelayed, account, outcome} of cases) {
		// The leader had placed the job's task, and refused the job as it could not reach the store.
		it(`${title} while the store is unreachable`, async () => {
			const store = new MemoryPoolStore();
			const configRow = store.put(CONFIG.table, CONFIG.key, {});
			const leader = createEntry(store, configRow, {storedJob: () => stored});
			Object.defineProperty(leader.config, 'storeSilentMs', {value: 5000});
			const peer = await relayPeer(relayTo(leader));
			const other = createEntry(store, configRow, {entries: () => [peer]});
			store.fault = 'refuse';
			const {service} = isRelayed ? other : leader;
			expect(await service.submit({jobId: 'j1', row: {...JOB_ROW, account}, configRow, ...TIMES})).to.deep.equal({kind: outcome});
		});
	}

	const cancellations: ReadonlyArray<{readonly title: string; readonly job: typeof stored; readonly outcome: string}> = [
		{title: 'accepts a cancellation that is stored', job: {...stored, isCancelled: true}, outcome: 'accepted'},
		{title: 'accepts a cancellation of a job that has ended', job: {...stored, hasEnded: true}, outcome: 'accepted'},
		{title: 'refuses a cancellation that is not stored', job: stored, outcome: 'not_stored'},
		{title: 'refuses a cancellation by another account', job: {account: 'south', isCancelled: true, hasEnded: false}, outcome: 'not_stored'},
	];
	for (const {title, job, outcome} of cancellations) {
		it(`${title} while the store is unreachable`, async () => {
			const store = new MemoryPoolStore();
			const {service} = createEntry(store, undefined, {storedJob: () => job});
			store.fault = 'refuse';
			expect(await service.cancel('j1', 'north', 100)).to.deep.equal({kind: outcome});
		});
	}
});

describe('a cancellation', () => {
	// The second request was told that nothing had been stored, while the write of the first one may have taken effect.
	it('is not refused after an earlier request for it had an unknown outcome', async () => {
		const store = new MemoryPoolStore();
		const {service, config} = createEntry(store, undefined);
		config.markConfirmed();
		store.put(TABLES.jobs, 'j1', JOB_ROW);
		failNext(store, 'lose_answer', 'refuse');
		expect(await service.cancel('j1', 'north', 100)).to.deep.equal({kind: 'unknown'});
		expect(store.rows.has(`${TABLES.jobs}/${cancellationKey('j1')}`)).to.equal(true);
		expect(await service.cancel('j1', 'north', 100)).to.deep.equal({kind: 'unknown'});
	});

	// The row had no job any more, so no leader removed it, and a later job under the same id would have been cancelled.
	it('is not stored by a write that is executed after the job has ended', async () => {
		const store = new MemoryPoolStore();
		const {service, config} = createEntry(store, undefined);
		config.markConfirmed();
		store.put(TABLES.jobs, 'j1', JOB_ROW);
		const transact = store.transact.bind(store);
		const late: Array<() => Promise<unknown>> = [];
		store.transact = async (...call) => {
			late.push(async () => transact(...call));
			return err({kind: 'outcome_unknown', message: 'no answer'});
		};

		expect(await service.cancel('j1', 'north', 100)).to.deep.equal({kind: 'unknown'});
		store.put(TABLES.jobs, 'j1', {...JOB_ROW, finalState: 'completed'});
		await Promise.all(late.map(async execute => execute()));
		expect(store.rows.has(`${TABLES.jobs}/${cancellationKey('j1')}`)).to.equal(false);
	});

	const lateSubmissions: ReadonlyArray<{readonly title: string; readonly fault: StoreFault; readonly outcome: string; readonly mayTakeEffect: boolean}> = [
		{title: 'does not answer that there is no such job while that is not certain', fault: 'lose_call', outcome: 'unknown', mayTakeEffect: true},
		{title: 'is refused while nothing can be written', fault: 'refuse', outcome: 'not_stored', mayTakeEffect: true},
		{title: 'answers that there is no such job once no write can take effect', fault: 'none', outcome: 'no_such_job', mayTakeEffect: false},
	];
	for (const {title, fault, outcome, mayTakeEffect} of lateSubmissions) {
		// The write of the job may be executed after the answer to its cancellation, and the job would run.
		it(`of a job whose write may still take effect ${title}`, async () => {
			const store = new MemoryPoolStore();
			const configRow = store.put(CONFIG.table, CONFIG.key, {});
			const {service, config} = createEntry(store, configRow);
			config.markConfirmed();
			store.fault = 'lose_call';
			await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES});
			const read = store.read.bind(store);
			store.read = async (table, range) => {
				store.fault = 'none';
				const page = await read(table, range);
				store.fault = fault;
				return page;
			};

			const {kind} = await service.cancel('j1', 'north', 100);
			expect(kind).to.equal(outcome);
			expect(service.maySubmitTakeEffect('j1')).to.equal(mayTakeEffect);
			store.fault = 'none';
			const conditions = [{table: TABLES.jobs, key: 'j1', version: 0}, {...CONFIG, version: configRow.version}];
			const lateWrite = await store.transact(conditions, [{table: TABLES.jobs, key: 'j1', value: JOB_ROW}]);
			expect(lateWrite.ok, 'the late write takes effect').to.equal(mayTakeEffect);
		});
	}

	// Another account's cancellation cleared the account of the write, so the caller was told that its stored job never runs.
	it('by another account does not make a stored job refusable', async () => {
		const store = new MemoryPoolStore();
		const configRow = store.put(CONFIG.table, CONFIG.key, {});
		const {service} = createEntry(store, configRow);
		failNext(store, 'lose_answer', 'refuse');
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'unknown'});
		store.fault = 'none';
		expect(await service.cancel('j1', 'south', 100)).to.deep.equal({kind: 'no_such_job', isFinal: true});
		store.fault = 'refuse';
		expect(await service.submit({jobId: 'j1', row: JOB_ROW, configRow, ...TIMES})).to.deep.equal({kind: 'unknown'});
	});

	it('relayed to an entry that has only read that there is no such job has an unknown outcome', async () => {
		const store = new MemoryPoolStore();
		const peer = await relayPeer(() => ({status: 200, body: {kind: 'no_such_job'}}));
		const {service} = createEntry(store, undefined, {entries: () => [peer]});
		expect(await service.cancel('j1', 'north', 100)).to.deep.equal({kind: 'unknown'});
	});
});

describe('a read of a job', () => {
	// Nothing can have been written, so the caller may ask again at once.
	it('is refused, not unknown, if a relay got no answer', async () => {
		const store = new MemoryPoolStore();
		const peer = await relayPeer(() => ({status: 500}));
		const {service} = createEntry(store, undefined, {entries: () => [peer]});
		store.fault = 'refuse';
		expect(await service.state('j1', 'north', 200)).to.deep.equal({kind: 'not_stored'});
	});
});
