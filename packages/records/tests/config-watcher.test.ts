import {expect} from 'chai';
import {
	ACCOUNT, DOMAIN, GUARANTEE_V1, POLICY, WORKER, configStoreOn, documentOf, submitAll,
} from './support/documents.js';
import {FaultyTableStore} from './support/faulty-table-store.js';
import {
	ConfigWatcher, declaredRacksOf, schedulerConfigOf, type ConfigSnapshot,
} from '@amaranthsail/records';

function watcherOn(store: FaultyTableStore): {watcher: ConfigWatcher; revisions: number[]} {
	const watcher = new ConfigWatcher({store, processId: 'entry-1', memberRow: revision => ({address: '127.0.0.1:1', revision})});
	const revisions: number[] = [];
	watcher.onChange((snapshot: ConfigSnapshot) => {
		revisions.push(snapshot.revision);
	});
	return {watcher, revisions};
}

describe('ConfigWatcher', () => {
	it('loads, confirms by its member row and follows the log', async () => {
		const store = new FaultyTableStore();
		const config = configStoreOn(store);
		await submitAll(config, [DOMAIN]);
		const {watcher, revisions} = watcherOn(store);
		expect(watcher.confirmed).to.equal(false);
		expect(await watcher.poll()).to.deep.equal({ok: true, value: {changed: true, revision: 1, confirmed: true}});
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
		const {watcher} = watcherOn(new FaultyTableStore());
		await watcher.poll();
		expect([watcher.confirmed, watcher.snapshot?.revision]).to.deep.equal([true, 0]);
	});

	// Guards against a new process that puts an older configuration in force.
	it('is not confirmed when the head moved after its load', async () => {
		const store = new FaultyTableStore();
		const config = configStoreOn(store);
		await submitAll(config, [ACCOUNT]);
		store.beforeNextTransact(async () => submitAll(config, [DOMAIN]));
		const {watcher, revisions} = watcherOn(store);
		await watcher.poll();
		expect([watcher.confirmed, watcher.counters.refusedConfirmations, revisions]).to.deep.equal([false, 1, []]);
		await watcher.poll();
		expect([watcher.confirmed, revisions]).to.deep.equal([true, [2]]);
	});

	it('does not load from stale reads', async () => {
		const store = new FaultyTableStore();
		await submitAll(configStoreOn(store), [ACCOUNT, DOMAIN]);
		store.readFault = 'stale_read';
		const {watcher} = watcherOn(store);
		expect(await watcher.poll()).to.deep.equal({ok: false, error: {kind: 'moving', attempts: 5}});
		expect(watcher.snapshot).to.equal(undefined);
	});

	for (const [fault, confirmed] of [['lost_after_effect', true], ['duplicated', true], ['lost_before_effect', false], ['unavailable', false]] as const) {
		it(`is ${confirmed ? '' : 'not '}confirmed after ${fault}`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(fault);
			const {watcher} = watcherOn(store);
			await watcher.poll();
			expect(watcher.confirmed).to.equal(confirmed);
			await watcher.poll();
			expect(watcher.confirmed).to.equal(true);
		});
	}

	it('ignores and counts a head that goes back', async () => {
		const store = new FaultyTableStore();
		await submitAll(configStoreOn(store), [ACCOUNT, DOMAIN]);
		const {watcher, revisions} = watcherOn(store);
		await watcher.poll();
		store.readFault = 'stale_read';
		await watcher.poll();
		expect([watcher.snapshot?.revision, watcher.counters.staleHeads, revisions]).to.deep.equal([2, 1, [2]]);
	});

	it('waits at a gap in the log and counts it', async () => {
		const store = new FaultyTableStore();
		const {watcher, revisions} = watcherOn(store);
		await watcher.poll();
		await submitAll(configStoreOn(store), [ACCOUNT, DOMAIN, POLICY]);
		const key = '000000000002';
		const row = await store.get('config_log', key);
		await store.drop('config_log', key);
		await watcher.poll();
		expect([watcher.snapshot?.revision, watcher.counters.gaps]).to.deep.equal([1, 1]);
		await store.transact({writeId: 'restore', conditions: [], writes: [{table: 'config_log', key, value: row.ok ? row.value?.value : undefined}]});
		await watcher.poll();
		expect(revisions).to.deep.equal([0, 1, 3]);
	});
});

describe('schedulerConfigOf', () => {
	it('selects the policy that names the failure domain, then the default, then the built-in one', async () => {
		const store = new FaultyTableStore();
		const config = configStoreOn(store);
		const {watcher} = watcherOn(store);
		await watcher.poll();
		expect(schedulerConfigOf(watcher.snapshot!, 'catania').policy).to.deep.include({ordering: 'balanced', checkpointGraceMs: 5000});
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V1, documentOf('Policy', 'default', {...POLICY.spec, ordering: 'leastAttained'})]);
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
