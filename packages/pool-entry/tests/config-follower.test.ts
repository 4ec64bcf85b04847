import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {type Result, silentLogger, SystemClock} from '@amaranthsail/core';
import type {KeyRange, RowPage, StoreError} from '@amaranthsail/pool';
import {MemoryPoolStore} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';

const SOURCE = {table: 'configurations', key: 'newest'};

const SHORT_WAIT_MS = 10;

/** A store behind a slow link: answers are held back until the test releases them. */
class SlowLinkStore extends MemoryPoolStore {
	transfers = 0;
	readonly #heldBack: Array<() => void> = [];
	#isReleased = false;

	override async read(table: string, range: KeyRange): Promise<Result<RowPage, StoreError>> {
		this.transfers++;
		if (!this.#isReleased) {
			await new Promise<void>(resolve => {
				this.#heldBack.push(resolve);
			});
		}

		return super.read(table, range);
	}

	override async follow(table: string): Promise<Result<RowPage, StoreError>> {
		return this.read(table, {});
	}

	release(): void {
		this.#isReleased = true;
		for (const resolve of this.#heldBack) {
			resolve();
		}
	}
}

function createFollower(store: MemoryPoolStore): ConfigFollower {
	return new ConfigFollower(store, {...SOURCE, decode: row => ({version: row.version, queues: [], accounts: []})}, new SystemClock(), silentLogger);
}

describe('configuration over a slow link', () => {
	it('shares one transfer among requests, so that they do not delay one another beyond their timeouts', async () => {
		const store = new SlowLinkStore();
		store.put(SOURCE.table, SOURCE.key, {});
		const follower = createFollower(store);
		const answers = await Promise.all([1, 2, 3].map(async () => follower.refresh(SHORT_WAIT_MS)));
		expect(answers).to.deep.equal([undefined, undefined, undefined]);
		expect(store.transfers).to.equal(1);
		store.release();
		await delay(SHORT_WAIT_MS);
		expect(follower.known?.config.version, 'the transfer goes on after the requests have given up').to.equal(2);
	});

	it('asks again once a transfer has ended', async () => {
		const store = new SlowLinkStore();
		store.release();
		const follower = createFollower(store);
		await follower.refresh();
		store.put(SOURCE.table, SOURCE.key, {});
		await follower.refresh();
		expect(follower.known?.config.version).to.equal(2);
	});
});

describe('configuration that another entry has replaced', () => {
	const known = 5;
	const cases = [
		{title: 'the same version', announced: known, isBehind: false},
		{title: 'an older version', announced: known - 1, isBehind: false},
		{title: 'a newer version', announced: known + 1, isBehind: true},
	];
	for (const {title, announced, isBehind} of cases) {
		it(`is ${isBehind ? '' : 'not '}behind after ${title} was announced`, async () => {
			const follower = createFollower(new MemoryPoolStore());
			follower.applyIfNewer({...SOURCE, value: {}, version: known, isRemoved: false}, 'test');
			follower.recordAnnounced(announced);
			await delay(SHORT_WAIT_MS);
			expect(follower.behindMs > 0).to.equal(isBehind);
			follower.applyIfNewer({...SOURCE, value: {}, version: known + 1, isRemoved: false}, 'test');
			expect(follower.behindMs, 'after the newer one is in force').to.equal(0);
		});
	}

	// A malformed announcement kept an entry from serving for good.
	it('is not behind any more once the store has been asked since', async () => {
		const store = new MemoryPoolStore();
		store.put(SOURCE.table, SOURCE.key, {});
		const follower = createFollower(store);
		await follower.refresh();
		follower.recordAnnounced(Number.MAX_SAFE_INTEGER);
		await delay(SHORT_WAIT_MS);
		expect(follower.behindMs).to.be.above(0);
		await follower.refresh();
		expect(follower.behindMs).to.equal(0);
	});

	it('is not behind any more once the announcement is withdrawn', async () => {
		const follower = createFollower(new MemoryPoolStore());
		follower.recordAnnounced(2);
		await delay(SHORT_WAIT_MS);
		follower.withdrawAnnounced(3);
		expect(follower.behindMs).to.be.above(0);
		follower.withdrawAnnounced(2);
		expect(follower.behindMs).to.equal(0);
	});

	it('counts from the first announcement', async () => {
		const follower = createFollower(new MemoryPoolStore());
		follower.recordAnnounced(1);
		await delay(SHORT_WAIT_MS);
		const {behindMs} = follower;
		follower.recordAnnounced(2);
		expect(follower.behindMs).to.be.at.least(behindMs);
	});
});
