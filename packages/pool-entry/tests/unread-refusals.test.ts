import {expect} from 'chai';
import {
	err, type Result, silentLogger, SystemClock,
} from '@amaranthsail/core';
import {
	type RowCondition, type RowPage, type RowWrite, type StoredRow, type StoreError, TABLES,
} from '@amaranthsail/pool';
import {ProcessMetrics} from '@amaranthsail/pool-runtime';
import {JOB_ROW, MemoryPoolStore} from './support.js';
import {ConfigFollower} from '@amaranthsail/pool-entry/config-follower.js';
import {JobService} from '@amaranthsail/pool-entry/job-service.js';

const CONFIG = {table: 'configurations', key: 'newest'};

const JOB_ID = 'j1';

/** A store whose configuration is too large to be transferred with a refusal. */
class LargeConfigStore extends MemoryPoolStore {
	/** Whether the feed brings the configuration in time. */
	isFeedFast = true;

	override async transact(conditions: readonly RowCondition[], writes: readonly RowWrite[]): Promise<Result<{readonly version: number}, StoreError>> {
		const written = await super.transact(conditions, writes);
		return !written.ok && written.error.kind === 'condition_failed' ? err({kind: 'condition_failed_unread'}) : written;
	}

	override async follow(table: string): Promise<Result<RowPage, StoreError>> {
		return this.isFeedFast ? super.follow(table) : err({kind: 'unavailable', message: 'busy'});
	}

	override async read(table: string, range: {readonly from?: string; readonly to?: string}): Promise<Result<RowPage, StoreError>> {
		return this.isFeedFast || table !== CONFIG.table ? super.read(table, range) : err({kind: 'unavailable', message: 'busy'});
	}
}

describe('a submission that the store refuses without sending the present rows', () => {
	type Case = {
		readonly name: string;
		readonly change: (store: LargeConfigStore) => void;
		readonly kind: string;
	};
	const cases: readonly Case[] = [
		{
			name: 'is checked again once the newer configuration is known',
			change(store) {
				store.put(CONFIG.table, CONFIG.key, {});
			},
			kind: 'configuration_changed',
		},
		{
			name: 'is not stored, and says so, while the newer configuration is on its way',
			change(store) {
				store.put(CONFIG.table, CONFIG.key, {});
				store.isFeedFast = false;
			},
			kind: 'not_stored',
		},
		{
			name: 'is accepted if the job is stored already',
			change(store) {
				store.put(TABLES.jobs, JOB_ID, JOB_ROW);
			},
			kind: 'accepted',
		},
		{
			name: 'is a conflict if the id belongs to another account',
			change(store) {
				store.put(TABLES.jobs, JOB_ID, {...JOB_ROW, account: 'south'});
			},
			kind: 'conflict',
		},
	];
	for (const {name, change, kind} of cases) {
		it(name, async () => {
			const store = new LargeConfigStore();
			const configRow: StoredRow = store.put(CONFIG.table, CONFIG.key, {});
			const clock = new SystemClock();
			const config = new ConfigFollower(store, {...CONFIG, decode: row => ({version: row.version, queues: [], accounts: []})}, clock, silentLogger);
			await config.refresh();
			const service = new JobService({
				store, clock, logger: silentLogger, metrics: new ProcessMetrics(), config, leader: () => undefined, storedJob: () => undefined, leaderAddress: () => undefined, entries: () => [],
			});
			change(store);
			const outcome = await service.submit({
				jobId: JOB_ID, row: JOB_ROW, configRow, budgetMs: 250, deadlineMs: 250,
			});
			expect(outcome.kind).to.equal(kind);
			expect(service.maySubmitTakeEffect(JOB_ID)).to.equal(false);
		});
	}
});
