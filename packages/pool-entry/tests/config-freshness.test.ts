import {expect} from 'chai';
import {ManualClock, silentLogger} from '@amaranthsail/core';
import {NarrowLinkStore} from './narrow-link.js';
import {ConfigFreshness} from '@amaranthsail/pool-entry/config-freshness.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';

const SOURCE = {table: 'configurations', key: 'newest'};

/** Time after which a change has to be in force. */
const CONFIG_APPLY_MS = 3000;

/** 10 Mbit/s. */
const LINK_BYTES_PER_MS = 1250;

const STEP_MS = 10;

const FIRST_CHANGE_MS = 1000;

type Change = {readonly atMs: number; readonly bytes: number};

type Scenario = {
	readonly changes: readonly Change[];
	readonly isLeaderAnswering?: boolean;
	/** Whether requests arrive that are refused only after the configuration was read again. */
	readonly isReadForRefusals?: boolean;
};

type Course = {
	/** Times at which a configuration was usable although a change was older than its bound. */
	readonly overdueAtMs: readonly number[];
	/** Time from each change until it was in force. */
	readonly inForceAfterMs: readonly number[];
	/** Bytes of rows that have crossed the link. */
	readonly transferredBytes: number;
};

/** Plays 12 s of changes to an entry on a narrow link. */
async function play({changes, isLeaderAnswering = false, isReadForRefusals = false}: Scenario): Promise<Course> {
	const clock = new ManualClock();
	const store = new NarrowLinkStore(clock, LINK_BYTES_PER_MS);
	const follower = new ConfigFollower(store, {...SOURCE, decode: row => ({version: row.version, queues: [], accounts: []})}, clock, silentLogger);
	store.put(SOURCE.table, SOURCE.key, {});
	const ended = follower.run();
	const written: Array<{readonly atMs: number; readonly version: number}> = [];
	const inForceAfterMs: number[] = [];
	const overdueAtMs: number[] = [];
	for (let atMs = 0; atMs < 12_000; atMs += STEP_MS) {
		for (const {bytes} of changes.filter(change => change.atMs === atMs)) {
			written.push({atMs, version: store.putLarge(SOURCE.table, SOURCE.key, bytes).version});
		}

		if (isReadForRefusals && atMs % 100 === 0) {
			void follower.refresh();
		}

		await store.advance(STEP_MS);
		const version = follower.known?.row.version ?? 0;
		for (const [index, change] of written.entries()) {
			if (version >= change.version) {
				inForceAfterMs[index] ??= atMs - change.atMs;
			} else if (atMs - change.atMs > CONFIG_APPLY_MS && follower.isUsable(CONFIG_APPLY_MS, isLeaderAnswering ? 0 : Number.POSITIVE_INFINITY)) {
				overdueAtMs.push(atMs);
			}
		}
	}

	follower.stop();
	await store.advance(1000);
	await ended;
	return {overdueAtMs, inForceAfterMs, transferredBytes: store.transferredBytes};
}

describe('an entry on a narrow link serves no configuration that was replaced longer ago than the bound', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly scenario: Scenario}> = [
		{
			name: 'while the second of two large changes is on its way',
			scenario: {changes: [{atMs: FIRST_CHANGE_MS, bytes: 2_400_000}, {atMs: FIRST_CHANGE_MS + 200, bytes: 2_400_000}]},
		},
		{
			name: 'while a change is on its way and a leader answers that has not got it either',
			scenario: {changes: [{atMs: FIRST_CHANGE_MS, bytes: 5_000_000}], isLeaderAnswering: true},
		},
		{
			name: 'while the second of two changes is on its way and a leader answers',
			scenario: {changes: [{atMs: FIRST_CHANGE_MS, bytes: 2_400_000}, {atMs: FIRST_CHANGE_MS + 200, bytes: 2_400_000}], isLeaderAnswering: true},
		},
	];
	for (const {name, scenario} of cases) {
		it(name, async () => {
			const {overdueAtMs, inForceAfterMs} = await play(scenario);
			expect(overdueAtMs[0]).to.equal(undefined);
			expect(inForceAfterMs).to.have.lengthOf(scenario.changes.length);
		});
	}
});

describe('an entry on a narrow link has a change in force within the bound', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly scenario: Scenario}> = [
		{name: 'that takes most of the bound to transfer', scenario: {changes: [{atMs: FIRST_CHANGE_MS, bytes: 2_400_000}]}},
		{name: 'that takes most of the bound, while requests are refused', scenario: {changes: [{atMs: FIRST_CHANGE_MS, bytes: 2_400_000}], isReadForRefusals: true}},
	];
	for (const {name, scenario} of cases) {
		it(name, async () => {
			const {inForceAfterMs, transferredBytes} = await play(scenario);
			expect(inForceAfterMs[0]).to.be.at.most(CONFIG_APPLY_MS);
			expect(transferredBytes, 'bytes on the link for one row').to.be.below(1.02 * scenario.changes[0]!.bytes);
		});
	}
});

describe('a version that was announced while an older one was on its way', () => {
	it('is overdue since it was announced, not since the older one arrived', async () => {
		const clock = new ManualClock();
		const follower = new ConfigFollower(new NarrowLinkStore(clock, LINK_BYTES_PER_MS), {...SOURCE, decode: row => ({version: row.version, queues: [], accounts: []})}, clock, silentLogger);
		const row = {...SOURCE, value: {}, isRemoved: false};
		follower.applyIfNewer({...row, version: 1}, 'test');
		follower.recordAnnounced(2);
		clock.advance(100);
		follower.recordAnnounced(3);
		clock.advance(1000);
		follower.applyIfNewer({...row, version: 2}, 'test');
		follower.recordAnnounced(3);
		expect(follower.behindMs).to.equal(1000);
	});
});

describe('a leader that says that its configuration is replaced', () => {
	const known = 5;
	const cases: ReadonlyArray<{readonly name: string; readonly leaderRowVersion: number; readonly leaderBehindMs: number; readonly isStoreAskedSince?: boolean; readonly behindMs: number}> = [
		{name: 'makes an entry with the same version refuse after the same time', leaderRowVersion: known, leaderBehindMs: 1000, behindMs: 1000},
		{name: 'makes an entry with an older version refuse', leaderRowVersion: known + 1, leaderBehindMs: 1000, behindMs: 1000},
		{name: 'says nothing about a newer version', leaderRowVersion: known - 1, leaderBehindMs: 1000, behindMs: 0},
		{name: 'is not believed if the store has been asked since', leaderRowVersion: known, leaderBehindMs: 1000, isStoreAskedSince: true, behindMs: 0},
		{name: 'is believed until it does not say so any more', leaderRowVersion: known, leaderBehindMs: 0, behindMs: 0},
	];
	for (const {name, leaderRowVersion, leaderBehindMs, isStoreAskedSince, behindMs} of cases) {
		it(name, () => {
			const clock = new ManualClock();
			const freshness = new ConfigFreshness(clock);
			freshness.recordKnown(known);
			freshness.recordConfirmed(clock.monotonicMs());
			clock.advance(10_000);
			freshness.recordLeader(known, 500);
			if (isStoreAskedSince) {
				freshness.recordConfirmed(clock.monotonicMs() - 100);
			}

			freshness.recordLeader(leaderRowVersion, leaderBehindMs);
			expect(freshness.behindMs).to.equal(behindMs);
			expect(freshness.ownBehindMs, 'what it passes on').to.equal(0);
			expect(freshness.isUsable(CONFIG_APPLY_MS, 0), 'within the bound').to.equal(true);
			clock.advance(1000);
			expect(freshness.isUsable(CONFIG_APPLY_MS, 0)).to.equal(behindMs === 0);
		});
	}
});
