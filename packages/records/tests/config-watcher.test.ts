import {expect} from 'chai';
import {
	ACCOUNT, FAILURE_DOMAIN, GUARANTEE_V1, POLICY, WORKER, createConfigStore, documentOf, submitAll,
} from './support/documents.js';
import {FaultyTableStore} from './support/faulty-table-store.js';
import {
	ConfigWatcher, declaredRacksOf, schedulerConfigOf, type ConfigSnapshot,
} from '@amaranthsail/records';

function startWatcher(store: FaultyTableStore): {watcher: ConfigWatcher; revisions: number[]} {
	const watcher = new ConfigWatcher({store, processId: 'entry-1', memberRow: revision => ({address: '127.0.0.1:1', revision})});
	const revisions: number[] = [];
	watcher.onChange((snapshot: ConfigSnapshot) => {
		revisions.push(snapshot.revision);
	});
	return {watcher, revisions};
}

describe('ConfigWatcher', () => {
	it('loads the records, confirms the head with its member row and applies new log rows', async () => {
		const store = new FaultyTableStore();
		const config = createConfigStore(store);
		await submitAll(config, [FAILURE_DOMAIN]);
		const {watcher, revisions} = startWatcher(store);
		expect(watcher.isConfirmed).to.equal(false);
		expect(await watcher.poll()).to.deep.equal({ok: true, value: {hasChanged: true, revision: 1, isConfirmed: true}});
		const member = await store.get('members', 'entry-1');
		expect(member.ok && member.value?.value).to.deep.include({revision: 1, address: '127.0.0.1:1'});
		await submitAll(config, [ACCOUNT, GUARANTEE_V1]);
		await watcher.poll();
		expect(revisions).to.deep.equal([1, 3]);
		expect(watcher.snapshot?.records.Guarantee.get('assets-catania')).to.deep.include({adjacency: 'failureDomain', survivesRackLoss: false});
		await config.withdraw({kind: 'Guarantee', name: 'assets-catania'}, 'ada');
		await watcher.poll();
		expect(watcher.snapshot?.records.Guarantee.size).to.equal(0);
	});

	it('confirms an empty configuration', async () => {
		const {watcher} = startWatcher(new FaultyTableStore());
		await watcher.poll();
		expect([watcher.isConfirmed, watcher.snapshot?.revision]).to.deep.equal([true, 0]);
	});

	// Guards against a new process that applies an outdated configuration.
	it('is not confirmed when the head has changed since its load', async () => {
		const store = new FaultyTableStore();
		const config = createConfigStore(store);
		await submitAll(config, [ACCOUNT]);
		store.beforeNextTransact(async () => submitAll(config, [FAILURE_DOMAIN]));
		const {watcher, revisions} = startWatcher(store);
		await watcher.poll();
		expect([watcher.isConfirmed, watcher.counters.refusedConfirmations, revisions]).to.deep.equal([false, 1, []]);
		await watcher.poll();
		expect([watcher.isConfirmed, revisions]).to.deep.equal([true, [2]]);
	});

	it('does not load from stale reads', async () => {
		const store = new FaultyTableStore();
		await submitAll(createConfigStore(store), [ACCOUNT, FAILURE_DOMAIN]);
		store.readFault = 'stale_read';
		const {watcher} = startWatcher(store);
		expect(await watcher.poll()).to.deep.equal({ok: false, error: {kind: 'moving', attempts: 5}});
		expect(watcher.snapshot).to.equal(undefined);
	});

	for (const [fault, confirmed] of [['lost_after_effect', true], ['duplicated', true], ['lost_before_effect', false], ['unavailable', false]] as const) {
		it(`is ${confirmed ? '' : 'not '}confirmed after ${fault}`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(fault);
			const {watcher} = startWatcher(store);
			await watcher.poll();
			expect(watcher.isConfirmed).to.equal(confirmed);
			await watcher.poll();
			expect(watcher.isConfirmed).to.equal(true);
		});
	}

	it('ignores and counts a head with a lower revision', async () => {
		const store = new FaultyTableStore();
		await submitAll(createConfigStore(store), [ACCOUNT, FAILURE_DOMAIN]);
		const {watcher, revisions} = startWatcher(store);
		await watcher.poll();
		store.readFault = 'stale_read';
		await watcher.poll();
		expect([watcher.snapshot?.revision, watcher.counters.staleHeads, revisions]).to.deep.equal([2, 1, [2]]);
	});

	it('stops at a gap in the log and counts it', async () => {
		const store = new FaultyTableStore();
		const {watcher, revisions} = startWatcher(store);
		await watcher.poll();
		await submitAll(createConfigStore(store), [ACCOUNT, FAILURE_DOMAIN, POLICY]);
		const key = '000000000002';
		const row = await store.get('config_log', key);
		await store.deleteRow('config_log', key);
		await watcher.poll();
		expect([watcher.snapshot?.revision, watcher.counters.gaps]).to.deep.equal([1, 1]);
		await store.transact({writeId: 'restore', conditions: [], writes: [{table: 'config_log', key, value: row.ok ? row.value?.value : undefined}]});
		await watcher.poll();
		expect(revisions).to.deep.equal([0, 1, 3]);
	});
});

describe('schedulerConfigOf', () => {
	it('selects the policy that lists the failure domain, else the default, else the built-in one', async () => {
		const store = new FaultyTableStore();
		const config = createConfigStore(store);
		const {watcher} = startWatcher(store);
		await watcher.poll();
		expect(schedulerConfigOf(watcher.snapshot!, 'catania').policy).to.deep.include({ordering: 'balanced', checkpointGraceMs: 5000});
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V1, documentOf('Policy', 'default', {...POLICY.spec, ordering: 'leastAttained'})]);
		await submitAll(config, [documentOf('Policy', 'own', {
			...POLICY.spec, ordering: 'firstFit', failureDomains: ['catania'], lanes: {shortShare: 0.25},
		})]);
		await watcher.poll();
		const snapshot = watcher.snapshot!;
		expect(schedulerConfigOf(snapshot, 'suva').policy.ordering).to.equal('leastAttained');
		expect(schedulerConfigOf(snapshot, 'catania').policy).to.deep.include({ordering: 'firstFit', shortLaneShare: 0.25});
		expect(schedulerConfigOf(snapshot, 'catania').accounts).to.deep.equal([{account: 'assets', weight: 2, maxAccelerators: undefined}]);
		expect(schedulerConfigOf(snapshot, 'catania').guarantees.map(({name}) => name)).to.deep.equal(['assets-catania']);
		expect(declaredRacksOf(snapshot, 'catania')).to.deep.equal([{rack: 'rack-a', workers: [WORKER, WORKER]}]);
		expect(declaredRacksOf(snapshot, 'suva')).to.deep.equal([]);
	});
});
