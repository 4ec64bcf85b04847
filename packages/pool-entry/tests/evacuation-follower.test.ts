import {expect} from 'chai';
import {
	err, type LogFields, ManualClock, ok, type Result, silentLogger,
} from '@amaranthsail/core';
import {sleep} from '@amaranthsail/pool-runtime';
import {decodeEvacuation, EVACUATION_PREFIX} from '@amaranthsail/platform-adapter';
import type {RowPage, StoredRow, StoreError} from '@amaranthsail/pool';
import {makeLeader, SETTLE_MS} from './leader-fixture.js';
import {MemoryPoolStore} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import {EvacuationFollower} from '@amaranthsail/pool-entry/evacuation-follower.js';

const SOURCE = {table: 'op', prefix: EVACUATION_PREFIX, decode: decodeEvacuation};

const WEST = `${EVACUATION_PREFIX}west`;

function row(version: number, isRemoved = false, value: unknown = {}): StoredRow {
	return {table: 'op', key: WEST, value: isRemoved ? undefined : value, version, isRemoved};
}

type Fixture = {
	readonly clock: ManualClock;
	readonly store: MemoryPoolStore;
	readonly follower: EvacuationFollower;
	readonly lines: Array<readonly [string, LogFields | undefined]>;
	/** What the follower last told the core. */
	readonly told: () => {readonly failureDomains: readonly string[]; readonly confirmedAtMs: number};
};

function makeFollower(): Fixture {
	const clock = new ManualClock(1000);
	const store = new MemoryPoolStore();
	const lines: Fixture['lines'] = [];
	const log = (message: string, fields?: LogFields): void => {
		lines.push([message, fields]);
	};

	const follower = new EvacuationFollower(store, SOURCE, clock, {...silentLogger, info: log, warn: log});
	const told: Fixture['told'] = () => {
		let result = {failureDomains: [] as readonly string[], confirmedAtMs: 0};
		follower.applyTo({
			setEvacuations(failureDomains, confirmedAtMs) {
				result = {failureDomains: [...failureDomains], confirmedAtMs};
			},
		});
		return result;
	};

	return {
		clock, store, follower, lines, told,
	};
}

describe('EvacuationFollower', () => {
	type Case = {readonly title: string; readonly pages: ReadonlyArray<readonly StoredRow[]>; readonly expected: readonly string[]; readonly messages: readonly string[]};
	const cases: readonly Case[] = [
		{title: 'takes a request', pages: [[row(5)]], expected: ['west'], messages: ['evacuation requested']},
		{title: 'takes a withdrawal', pages: [[row(5)], [row(6, true)]], expected: [], messages: ['evacuation requested', 'evacuation ended']},
		{title: 'ignores an older request after a withdrawal', pages: [[row(6, true)], [row(5)]], expected: [], messages: []},
		{title: 'ignores an older withdrawal after a request', pages: [[row(6)], [row(5, true)]], expected: ['west'], messages: ['evacuation requested']},
		{title: 'goes by the versions in one page, not by the order', pages: [[row(7), row(6, true), row(5)]], expected: ['west'], messages: ['evacuation requested']},
		{title: 'counts an unreadable row by its key', pages: [[row(5, false, 'x')]], expected: ['west'], messages: ['evacuation unreadable', 'evacuation requested']},
		{title: 'ignores other rows and a key without a name', pages: [[{...row(5), key: 'config'}, {...row(6), key: EVACUATION_PREFIX}, {...row(7), table: 'jobs'}]], expected: [], messages: ['evacuation unreadable']},
	];
	for (const {title, pages, expected, messages} of cases) {
		it(title, () => {
			const {follower, told, lines} = makeFollower();
			for (const page of pages) {
				follower.onRows(page, 0);
			}

			expect(told().failureDomains).to.deep.equal(expected);
			expect(lines.map(([message]) => message)).to.deep.equal(messages);
		});
	}

	it('takes the absence of a row from the range for its withdrawal, unless the feed has delivered a newer version', async () => {
		const {store, follower, told} = makeFollower();
		follower.onRows([row(5), {...row(50), key: `${EVACUATION_PREFIX}north`}], 0);
		store.version = 20;
		await follower.read();
		expect(told().failureDomains).to.deep.equal(['north']);
	});

	it('is not confirmed by the feed while changes before it may be missing, nor by a read that fails', async () => {
		const {clock, store, follower, told} = makeFollower();
		const confirmations: number[] = [];
		const feed = (): void => {
			clock.advance(100);
			follower.onRows([], clock.monotonicMs());
			confirmations.push(told().confirmedAtMs);
		};

		feed();
		store.fault = 'refuse';
		expect(await follower.read()).to.equal(false);
		feed();
		store.fault = 'none';
		await follower.read();
		feed();
		follower.onGap();
		feed();
		await follower.read();
		feed();
		expect(confirmations).to.deep.equal([Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY, 1300, 1300, 1500]);
	});

	it('stays unconfirmed by the feed if another gap begins during the read', async () => {
		const {clock, follower, told} = makeFollower();
		const reading = follower.read();
		follower.onGap();
		await reading;
		clock.advance(100);
		follower.onRows([], clock.monotonicMs());
		expect(told().confirmedAtMs).to.equal(1000);
	});
});

describe('the feed of the operator\'s rows', () => {
	const losses: ReadonlyArray<{readonly title: string; readonly answer: Result<RowPage, StoreError>}> = [
		{title: 'lost history', answer: err({kind: 'history_lost'})},
		{title: 'a failed call', answer: err({kind: 'unavailable', message: 'refused'})},
	];
	for (const {title, answer} of losses) {
		it(`delivers requests, and ${title} has the whole range read again`, async () => {
			const {clock, store, follower, told} = makeFollower();
			const answers = [ok({rows: [row(5)], version: 5, hasMore: false}), answer];
			store.follow = async () => {
				await sleep(5);
				return answers.shift() ?? ok({rows: [], version: 20, hasMore: false});
			};

			const config = new ConfigFollower(store, {table: 'op', key: 'config', decode: () => undefined}, clock, silentLogger);
			config.setTableListener(follower);
			const seen: string[] = [];
			follower.onChange(() => {
				if (seen.at(-1) !== told().failureDomains.join('+')) {
					seen.push(told().failureDomains.join('+'));
				}
			});
			const running = [config.run(), follower.run()];
			await sleep(60);
			// Written before the feed begins again, so that only a read of the range delivers it.
			store.version = 20;
			store.put('op', `${EVACUATION_PREFIX}north`, {});
			await sleep(400);
			config.stop();
			follower.stop();
			await Promise.all(running);
			expect(seen.slice(-2)).to.deep.equal(['west', 'north']);
		});
	}
});

describe('a new leader', () => {
	it('reads the stored state with the requests after its takeover, and leads once it has read both', async () => {
		const {store, follower} = makeFollower();
		store.fault = 'refuse';
		const {leader} = makeLeader({evacuations: follower});
		const told: string[] = [];
		const {core} = leader;
		const setEvacuations = core.setEvacuations.bind(core);
		core.setEvacuations = (failureDomains, confirmedAtMs) => {
			told.push(...failureDomains);
			setEvacuations(failureDomains, confirmedAtMs);
		};

		void leader.run();
		await sleep(SETTLE_MS);
		expect(leader.isLeading).to.equal(false);
		store.put('op', WEST, {});
		store.fault = 'none';
		await sleep(SETTLE_MS);
		expect(leader.isLeading).to.equal(true);
		expect(told).to.deep.equal(['west']);
		await leader.resign();
	});
});
