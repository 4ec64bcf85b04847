import {expect} from 'chai';
import {
	err, ManualClock, ok, type Result, silentLogger,
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

const NAMELESS: StoredRow = {...row(6), key: EVACUATION_PREFIX};

type Fixture = {
	readonly clock: ManualClock;
	readonly store: MemoryPoolStore;
	readonly follower: EvacuationFollower;
	readonly messages: string[];
	/** @returns What the follower tells a core. */
	readonly tell: () => {readonly failureDomains: readonly string[]; readonly confirmedAtMs: number};
};

function makeFollower(): Fixture {
	const clock = new ManualClock(1000);
	const store = new MemoryPoolStore();
	const messages: string[] = [];
	const log = (message: string): void => {
		messages.push(message);
	};

	const follower = new EvacuationFollower(store, SOURCE, clock, {...silentLogger, info: log, warn: log});
	const tell: Fixture['tell'] = () => {
		let told = {failureDomains: [] as readonly string[], confirmedAtMs: 0};
		follower.applyTo({
			setEvacuations(failureDomains, confirmedAtMs) {
				told = {failureDomains: [...failureDomains], confirmedAtMs};
			},
		});
		return told;
	};

	return {
		clock, store, follower, messages, tell,
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
		{title: 'ignores other rows and a key without a name', pages: [[{...row(5), key: 'config'}, NAMELESS, {...row(7), table: 'jobs'}]], expected: [], messages: ['evacuation unreadable']},
	];
	for (const {title, pages, expected, messages} of cases) {
		it(title, () => {
			const fixture = makeFollower();
			for (const page of pages) {
				fixture.follower.onRows(page, 0);
			}

			expect(fixture.tell().failureDomains).to.deep.equal(expected);
			expect(fixture.messages).to.deep.equal(messages);
		});
	}

	it('takes the absence of a row from the range for its withdrawal, unless the feed has delivered a newer version', async () => {
		const {store, follower, tell} = makeFollower();
		follower.onRows([row(5), {...row(50), key: `${EVACUATION_PREFIX}north`}], 0);
		store.version = 20;
		await follower.read();
		expect(tell().failureDomains).to.deep.equal(['north']);
	});

	const confirmations: ReadonlyArray<{readonly title: string; readonly steps: ReadonlyArray<'feed' | 'gap' | 'read' | 'failedRead' | 'gapDuringRead'>; readonly confirmedAtMs: number}> = [
		{title: 'nothing before the range has been read', steps: ['feed'], confirmedAtMs: Number.NEGATIVE_INFINITY},
		{title: 'nothing after a read that fails', steps: ['failedRead', 'feed'], confirmedAtMs: Number.NEGATIVE_INFINITY},
		{title: 'the requests after a read', steps: ['read', 'feed'], confirmedAtMs: 1200},
		{title: 'nothing after a gap', steps: ['read', 'gap', 'feed'], confirmedAtMs: 1100},
		{title: 'the requests after a gap and a read', steps: ['read', 'gap', 'read', 'feed'], confirmedAtMs: 1400},
		{title: 'nothing after a gap that begins during the read', steps: ['gapDuringRead', 'feed'], confirmedAtMs: 1100},
	];
	for (const {title, steps, confirmedAtMs} of confirmations) {
		it(`takes a page of the feed to confirm ${title}`, async () => {
			const {clock, store, follower, tell} = makeFollower();
			for (const step of steps) {
				clock.advance(100);
				store.fault = step === 'failedRead' ? 'refuse' : 'none';
				const reading = step.endsWith('ead') ? follower.read() : undefined;
				if (step.startsWith('gap')) {
					follower.onGap();
				} else if (step === 'feed') {
					follower.onRows([], clock.monotonicMs());
				}

				await reading;
			}

			expect(tell().confirmedAtMs).to.equal(confirmedAtMs);
		});
	}
});

describe('the feed of the operator\'s rows', () => {
	const losses: ReadonlyArray<{readonly title: string; readonly answer: Result<RowPage, StoreError>}> = [
		{title: 'lost history', answer: err({kind: 'history_lost'})},
		{title: 'a failed call', answer: err({kind: 'unavailable', message: 'refused'})},
	];
	for (const {title, answer} of losses) {
		it(`delivers requests, and ${title} has the whole range read again`, async () => {
			const {clock, store, follower, tell} = makeFollower();
			const answers = [ok({rows: [row(5)], version: 5, hasMore: false}), answer];
			store.follow = async () => {
				await sleep(5);
				return answers.shift() ?? ok({rows: [], version: 20, hasMore: false});
			};

			const config = new ConfigFollower(store, {table: 'op', key: 'config', decode: () => undefined}, clock, silentLogger);
			config.setTableListener(follower);
			const seen: string[] = [];
			follower.onChange(() => {
				if (seen.at(-1) !== tell().failureDomains.join('+')) {
					seen.push(tell().failureDomains.join('+'));
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
		leader.core.setEvacuations = failureDomains => {
			told.push(...failureDomains);
		};

		void leader.run();
		try {
			await sleep(SETTLE_MS);
			expect(leader.isLeading).to.equal(false);
			store.put('op', WEST, {});
			store.fault = 'none';
			await sleep(SETTLE_MS);
			expect(leader.isLeading).to.equal(true);
			expect(told).to.deep.equal(['west']);
		} finally {
			await leader.resign();
		}
	});
});
