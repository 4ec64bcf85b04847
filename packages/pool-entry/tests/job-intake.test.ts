import {expect} from 'chai';
import {silentLogger, SystemClock} from '@amaranthsail/core';
import {cancelKey, type JobRow, type StoredRow, TABLES} from '@amaranthsail/pool';
import {MemoryPoolStore, servePeer} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import {JobIntake} from '@amaranthsail/pool-entry/job-intake.js';
import {PEER_PATHS} from '@amaranthsail/pool-entry/peer-messages.js';

const ROW: JobRow = {
	queue: 'q', account: 'north', acceptedAtMs: 0, spec: {payload: '', steps: []},
};

function createIntake(store: MemoryPoolStore, entries: readonly string[] = []): {intake: JobIntake; config: ConfigFollower; configRow: StoredRow} {
	const configRow = store.put('configurations', 'newest', {});
	const clock = new SystemClock();
	const config = new ConfigFollower(store, {table: 'configurations', key: 'newest', decode: row => ({version: row.version, queues: [], accounts: []})}, clock, silentLogger);
	config.offer(configRow, 'test');
	config.confirm();
	const intake = new JobIntake({
		store, clock, logger: silentLogger, config, leader: () => undefined, leaderAddress: () => undefined, entries: () => entries,
	});
	return {intake, config, configRow};
}

describe('job intake', () => {
	it('accepts a job once, and the same request again', async () => {
		const store = new MemoryPoolStore();
		const {intake, configRow} = createIntake(store);
		const request = {jobId: 'j1', row: ROW, configRow, budgetMs: 300, deadlineMs: 300};
		expect(await intake.submit(request)).to.deep.equal({kind: 'accepted'});
		expect(await intake.submit(request)).to.deep.equal({kind: 'accepted'});
		expect(await intake.submit({...request, row: {...ROW, account: 'south'}})).to.deep.equal({kind: 'conflict'});
	});

	it('accepts nothing by a configuration that has been replaced', async () => {
		const store = new MemoryPoolStore();
		const {intake, config, configRow} = createIntake(store);
		const newer = store.put('configurations', 'newest', {});
		expect(await intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 300, deadlineMs: 300})).to.deep.equal({kind: 'configuration_changed'});
		expect(config.known?.row.version).to.equal(newer.version);
		expect(store.rows.has(`${TABLES.jobs}/j1`)).to.equal(false);
	});

	const outcomes = [
		{fault: 'refuse', outcome: 'not_stored', title: 'says that nothing is stored when the store refused every attempt'},
		{fault: 'lose_call', outcome: 'unknown', title: 'does not say so when an attempt had no answer'},
	] as const;
	for (const {fault, outcome, title} of outcomes) {
		it(title, async () => {
			const store = new MemoryPoolStore();
			const {intake, configRow} = createIntake(store);
			store.fault = fault;
			expect(await intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 200, deadlineMs: 200})).to.deep.equal({kind: outcome});
		});
	}

	// An earlier attempt for the same job may still be carried out, so "not accepted" would be untrue.
	it('does not say that nothing is stored after an earlier request for the job stayed without an answer', async () => {
		const store = new MemoryPoolStore();
		const {intake, configRow} = createIntake(store);
		store.fault = 'lose_call';
		await intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 100, deadlineMs: 100});
		store.fault = 'refuse';
		const again = {row: ROW, configRow, budgetMs: 100, deadlineMs: 100};
		expect(await intake.submit({...again, jobId: 'j1'})).to.deep.equal({kind: 'unknown'});
		expect(await intake.submit({...again, jobId: 'j2'})).to.deep.equal({kind: 'not_stored'});
		const answer = await intake.onRelay({
			kind: 'submit', jobId: 'j1', row: ROW, configRowVersion: configRow.version, budgetMs: 100,
		});
		expect(answer.body).to.deep.equal({kind: 'unknown'});
	});

	it('recognises a job whose acceptance was not answered', async () => {
		const store = new MemoryPoolStore();
		const {intake, configRow} = createIntake(store);
		store.fault = 'lose_answer';
		const pending = intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 500, deadlineMs: 500});
		setTimeout(() => {
			store.fault = 'none';
		}, 20);
		expect(await pending).to.deep.equal({kind: 'accepted'});
	});

	// An entry that was cut off from the store spent its time on the store and refused what another could take.
	it('asks another entry first when the store has been silent', async () => {
		const store = new MemoryPoolStore();
		const server = await servePeer({[PEER_PATHS.relay]: () => ({status: 200, body: {kind: 'accepted'}})});
		const {intake, config, configRow} = createIntake(store, [server.address]);
		Object.defineProperty(config, 'ageMs', {value: 5000});
		store.fault = 'lose_call';
		expect(await intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 1000, deadlineMs: 1000})).to.deep.equal({kind: 'accepted'});
		expect(store.transactions).to.equal(0);
		server.close();
	});

	// Attempts that were given up after 350 ms and repeated, here and at peers, filled the queue of a slow store: 15
	// requests of 8 jobs ended with 504, and none was accepted for 4 s.
	it('accepts what a slow store can carry out in time', async () => {
		const store = new MemoryPoolStore();
		store.fault = 'slow';
		const intakes = [createIntake(store), createIntake(store), createIntake(store)];
		const {configRow} = intakes[2]!;
		const outcomes = await Promise.all(Array.from({length: 9}, async (_, number) => intakes[number % 3]!.intake.submit({
			jobId: `j${number}`, row: ROW, configRow, budgetMs: 1200, deadlineMs: 2800,
		})));
		expect(outcomes.map(outcome => outcome.kind)).to.deep.equal(Array.from({length: 9}, () => 'accepted'));
	});

	const outages: ReadonlyArray<{title: string; ageMs: number; peer: string | undefined; outcome: string; transactions: number}> = [
		{title: 'refuses at once when the store is lost here and at a peer', ageMs: 5000, peer: 'not_stored', outcome: 'not_stored', transactions: 0},
		{title: 'tries by itself when no peer answers', ageMs: 5000, peer: undefined, outcome: 'accepted', transactions: 1},
		{title: 'tries by itself while the store may only be slow', ageMs: 1200, peer: 'not_stored', outcome: 'accepted', transactions: 1},
	];
	for (const {title, ageMs, peer, outcome, transactions} of outages) {
		// While the store refused all entries, each request was held for 1.2 s, twice, though no attempt could succeed.
		it(title, async () => {
			const store = new MemoryPoolStore();
			const server = await servePeer({[PEER_PATHS.relay]: () => ({status: 200, body: {kind: peer}})});
			const {intake, config, configRow} = createIntake(store, peer === undefined ? [] : [server.address]);
			Object.defineProperty(config, 'ageMs', {value: ageMs});
			expect(await intake.submit({jobId: 'j1', row: ROW, configRow, budgetMs: 1000, deadlineMs: 1000})).to.deep.equal({kind: outcome});
			expect(store.transactions).to.equal(transactions);
			server.close();
		});
	}

	it('tells the entry that asks it at once that the store is lost here too', async () => {
		const store = new MemoryPoolStore();
		const {intake, config, configRow} = createIntake(store);
		Object.defineProperty(config, 'ageMs', {value: 5000});
		const answer = await intake.onRelay({
			kind: 'submit', jobId: 'j1', row: ROW, configRowVersion: configRow.version, budgetMs: 1000,
		});
		expect(answer.body).to.deep.equal({kind: 'not_stored'});
		expect(store.transactions).to.equal(0);
	});

	const states: ReadonlyArray<{title: string; rows: ReadonlyArray<[string, string, unknown]>; outcome: Record<string, unknown>}> = [
		{title: 'no such job', rows: [], outcome: {kind: 'no_such_job'}},
		{title: 'a job of another account', rows: [[TABLES.jobs, 'j1', {...ROW, account: 'south'}]], outcome: {kind: 'no_such_job'}},
		{title: 'a job that has not started', rows: [[TABLES.jobs, 'j1', ROW]], outcome: {kind: 'state', state: 'queued'}},
		{title: 'a job that has started', rows: [[TABLES.jobs, 'j1', ROW], [TABLES.runs, 'j1.0.0.0', {run: 1}]], outcome: {kind: 'state', state: 'running'}},
		{title: 'a job that is being cancelled', rows: [[TABLES.jobs, 'j1', ROW], [TABLES.jobs, cancelKey('j1'), {}]], outcome: {kind: 'state', state: 'cancelled'}},
		{title: 'a job that has ended', rows: [[TABLES.jobs, 'j1', {...ROW, finalState: 'completed'}]], outcome: {kind: 'state', state: 'completed'}},
	];
	for (const {title, rows, outcome} of states) {
		it(`without a leader finds ${title} in the store`, async () => {
			const store = new MemoryPoolStore();
			const {intake} = createIntake(store);
			for (const [table, key, value] of rows) {
				store.put(table, key, value);
			}

			expect(await intake.state('j1', 'north', 300)).to.deep.equal(outcome);
		});
	}

	it('cancels a job once and knows it when asked again', async () => {
		const store = new MemoryPoolStore();
		const {intake} = createIntake(store);
		store.put(TABLES.jobs, 'j1', ROW);
		expect(await intake.cancel('j1', 'north', 300)).to.deep.equal({kind: 'accepted'});
		expect(await intake.cancel('j1', 'north', 300)).to.deep.equal({kind: 'accepted'});
		expect(await intake.cancel('j1', 'south', 300)).to.deep.equal({kind: 'no_such_job'});
		expect(store.transactions).to.equal(1);
	});
});
