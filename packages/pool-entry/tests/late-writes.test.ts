import {expect} from 'chai';
import {ManualClock, silentLogger} from '@amaranthsail/core';
import {
	cancellationKey, type JobRow, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {LateStore, type LateWrites} from './late-store.js';
import {makeLeader, type LeaderFixture, SETTLE_MS} from './leader-fixture.js';
import {JOB_ROW, servePeer} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import type {JobRequestOutcome} from '@amaranthsail/pool-entry/job-request-outcome.js';
import {JobService} from '@amaranthsail/pool-entry/job-service.js';
import {decodeRelayRequest} from '@amaranthsail/pool-entry/peer-message-decoding.js';
import {PEER_PATHS} from '@amaranthsail/pool-entry/peer-messages.js';

const JOB = 'j1';

const JOB_KEY = `${TABLES.jobs}/${JOB}`;

/** Longer than two timeouts of the store. */
const DEADLINE_MS = 2000;

const writesJob: LateWrites = writes => writes.some(({table, key, value}) => table === TABLES.jobs && key === JOB && (value as JobRow).spec !== undefined);

/** Whatever else a cancellation writes. */
const writesCancellation: LateWrites = writes => !writesJob(writes);

const firstOf = (isLate: LateWrites): LateWrites => {
	let isFirst = true;
	return writes => {
		const isChosen = isFirst && isLate(writes);
		isFirst &&= !isChosen;
		return isChosen;
	};
};

/** Entries that share a store, with a caller's requests to them. */
class Entries {
	readonly clock = new ManualClock(1000);
	readonly store = new LateStore(this.clock);
	readonly #configRow: StoredRow = this.store.put('configurations', 'newest', {});
	readonly #services: JobService[] = [];
	readonly #peers: Array<{readonly close: () => void}> = [];

	constructor(count: number) {
		for (let number = 0; number < count; number++) {
			this.restart(number);
		}
	}

	/** An entry that starts again has forgotten the requests that it has served. */
	restart(number: number, relayTo: readonly string[] = []): void {
		const config = new ConfigFollower(this.store, {table: 'configurations', key: 'newest', decode: row => ({version: row.version, queues: [], accounts: []})}, this.clock, silentLogger);
		config.applyIfNewer(this.#configRow, 'test');
		config.markConfirmed();
		Object.defineProperty(config, 'storeSilentMs', {value: relayTo.length > 0 ? 1000 : 0});
		this.#services[number] = new JobService({
			store: this.store, clock: this.clock, logger: silentLogger, metrics: new ProcessMetrics(), config, leader: () => undefined, storedJob: () => undefined, leaderAddress: () => undefined, entries: () => relayTo,
		});
	}

	/** Makes an entry relay its requests to another one, as it does while the store does not answer it. */
	async relay(from: number, to: number): Promise<void> {
		const peer = await servePeer({[PEER_PATHS.relay]: async body => this.#services[to]!.onRelay(decodeRelayRequest(body)!)});
		this.#peers.push(peer);
		this.restart(from, [peer.address]);
	}

	async submit(number: number, account = 'north'): Promise<JobRequestOutcome['kind']> {
		const outcome = await this.#services[number]!.submit({
			jobId: JOB, row: {...JOB_ROW, account}, configRow: this.#configRow, budgetMs: DEADLINE_MS, deadlineMs: DEADLINE_MS,
		});
		return outcome.kind;
	}

	async cancel(number: number, account = 'north'): Promise<JobRequestOutcome['kind']> {
		const {kind} = await this.#services[number]!.cancel(JOB, account, DEADLINE_MS);
		return kind;
	}

	async stateKind(number: number, account = 'north'): Promise<JobRequestOutcome['kind']> {
		const {kind} = await this.#services[number]!.state(JOB, account, DEADLINE_MS);
		return kind;
	}

	close(): void {
		for (const peer of this.#peers) {
			peer.close();
		}
	}
}

/** A leader that follows the store of the entries. */
async function followStore(store: LateStore): Promise<LeaderFixture> {
	const fixture = makeLeader();
	showRows(store, fixture);
	void fixture.leader.run();
	await sleep(SETTLE_MS / 2);
	return fixture;
}

function showRows(store: LateStore, fixture: LeaderFixture): void {
	for (const [key, row] of store.rows) {
		fixture.store.rows.set(key, row);
	}

	fixture.store.version = store.version;
}

describe('a job whose cancellation was answered with "no such job"', () => {
	type Case = {
		readonly title: string;
		readonly isLate: LateWrites;
		readonly prepare?: (entries: Entries) => Promise<void> | void;
		readonly canceller: number;
	};
	const cases: readonly Case[] = [
		{title: 'at another entry', isLate: writesJob, canceller: 1},
		{title: 'at another entry, the first write only being late', isLate: firstOf(writesJob), canceller: 1},
		{title: 'at the entry that had served it', isLate: writesJob, canceller: 0},
		{
			title: 'at the entry that had served it and was restarted', isLate: writesJob, prepare(entries) {
				entries.restart(0);
			}, canceller: 0,
		},
		{title: 'at an entry that relayed the cancellation', isLate: writesJob, prepare: async entries => entries.relay(1, 2), canceller: 1},
	];
	for (const {title, isLate, prepare, canceller} of cases) {
		// UNASKED: the write of the job was carried out after the 410, and the job was started.
		it(`does not run by a write that is carried out later: ${title}`, async () => {
			const entries = new Entries(3);
			entries.store.isLate = isLate;
			const submitted = await entries.submit(0);
			entries.store.isLate = () => false;
			await prepare?.(entries);
			const cancelled = await entries.cancel(canceller);
			await entries.store.executePending();
			const job = entries.store.rows.get(JOB_KEY)?.value as JobRow | undefined;
			// A job that a repeated write has stored is known, and its cancellation is accepted.
			expect([submitted, cancelled]).to.deep.equal(submitted === 'accepted' ? ['accepted', 'accepted'] : ['unknown', 'no_such_job']);
			expect(job?.spec === undefined || entries.store.rows.has(`${TABLES.jobs}/${cancellationKey(JOB)}`), 'the job is stored').to.equal(true);
			entries.close();
		});
	}

	for (const isLeaderEarlier of [true, false]) {
		it(`is not known to a leader that reads the store ${isLeaderEarlier ? 'before' : 'after'} the late write`, async () => {
			const entries = new Entries(2);
			entries.store.isLate = writesJob;
			await entries.submit(0);
			expect(await entries.cancel(1)).to.equal('no_such_job');
			const earlier = isLeaderEarlier ? await followStore(entries.store) : undefined;
			await entries.store.executePending();
			const fixture = earlier ?? await followStore(entries.store);
			showRows(entries.store, fixture);
			await sleep(2 * SETTLE_MS);
			const {leader, metrics} = fixture;
			expect(leader.canAnswer).to.equal(true);
			expect(leader.core.storedJob(JOB)).to.equal(undefined);
			expect([...leader.core.pendingCounts()]).to.deep.equal([]);
			expect(await metrics.text()).to.not.include('unreadable_rows');
			await leader.resign();
		});
	}

	it('has the same answers at each entry afterwards', async () => {
		const entries = new Entries(3);
		entries.store.isLate = writesJob;
		await entries.submit(0);
		entries.store.isLate = () => false;
		await entries.cancel(1);
		for (const number of [0, 1, 2]) {
			expect(await entries.submit(number), 'the same request again').to.equal('cancelled');
			expect(await entries.stateKind(number)).to.equal('no_such_job');
			expect(await entries.cancel(number)).to.equal('no_such_job');
		}
	});
});

describe('a cancellation that gets no answer', () => {
	// The caller is told that the outcome is unknown, and sends the cancellation again.
	it('is unknown, and has no effect on the job of a request that comes before it is carried out', async () => {
		const entries = new Entries(2);
		entries.store.isLate = writesCancellation;
		expect(await entries.cancel(0)).to.equal('unknown');
		entries.store.isLate = () => false;
		expect(await entries.submit(1)).to.equal('accepted');
		await entries.store.executePending();
		expect(await entries.stateKind(1)).to.equal('state');
		expect(await entries.cancel(1)).to.equal('accepted');
	});
});

describe('a cancellation that reaches the leader', () => {
	const store = ({store}: LeaderFixture): void => {
		store.put(TABLES.jobs, JOB, JOB_ROW);
		store.put(TABLES.jobs, cancellationKey(JOB), {});
	};

	const cases: ReadonlyArray<{readonly title: string; readonly before?: (fixture: LeaderFixture) => void; readonly after?: (fixture: LeaderFixture) => void}> = [
		{title: 'with the stored state', before: store},
		{title: 'by the feed', after: store},
		{
			title: 'by a notice before that of the job', after(fixture) {
				fixture.leader.onStored(JOB, undefined);
				store(fixture);
				fixture.leader.onStored(JOB, JOB_ROW);
			},
		},
	];
	for (const {title, before, after} of cases) {
		it(`${title} ends the job`, async () => {
			const fixture = makeLeader();
			before?.(fixture);
			void fixture.leader.run();
			await sleep(SETTLE_MS);
			after?.(fixture);
			await sleep(3 * SETTLE_MS);
			expect(fixture.leader.core.jobView(JOB)?.state).to.equal('cancelled');
			await fixture.leader.resign();
		});
	}
});

describe('an id that one client account has cancelled', () => {
	it('can be used by another account, whose job the first one neither sees nor changes', async () => {
		const entries = new Entries(2);
		expect(await entries.cancel(0, 'south')).to.equal('no_such_job');
		expect(await entries.submit(1)).to.equal('accepted');
		expect(await entries.stateKind(0)).to.equal('state');
		for (const number of [0, 1]) {
			expect(await entries.cancel(number, 'south')).to.equal('no_such_job');
			expect(await entries.stateKind(number, 'south')).to.equal('no_such_job');
		}

		expect(entries.store.rows.has(`${TABLES.jobs}/${cancellationKey(JOB)}`)).to.equal(false);
		expect((entries.store.rows.get(JOB_KEY)?.value as JobRow).account).to.equal('north');
	});

	// The write that replaces the cancelled id depends on the version of its row.
	it('does not run the job of another account that has cancelled it as well, by a write that is carried out later', async () => {
		const entries = new Entries(2);
		await entries.cancel(0, 'south');
		entries.store.isLate = writesJob;
		expect(await entries.submit(0)).to.equal('unknown');
		entries.store.isLate = () => false;
		expect(await entries.cancel(1)).to.equal('no_such_job');
		await entries.store.executePending();
		expect((entries.store.rows.get(JOB_KEY)?.value as JobRow).spec).to.equal(undefined);
		expect(await entries.submit(0, 'south')).to.equal('cancelled');
	});
});
