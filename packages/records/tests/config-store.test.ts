import {expect} from 'chai';
import type {FaultKind} from '@amaranthsail/backing-services';
import {
	ACCOUNT, DOMAIN, GUARANTEE, GUARANTEE_V1, GUARANTEE_V2, POLICY, WORKER, configStoreOn, documentOf, submitAll,
} from './support/documents.js';
import {FaultyTableStore} from './support/faulty-table-store.js';
import {
	buildSnapshot, type ConfigError, type ConfigErrorCode, type ConfigStore, type RecordDocument, type StoredRecord, type SubmitRequest,
} from '@amaranthsail/records';

type Step = {
	readonly by: string;
	readonly submit?: SubmitRequest;
	readonly withdraw?: {readonly takeOwnership?: readonly string[]; readonly baseRevision?: number};
	/** Fields in conflict as `field:owner`, an error code, `changed` or `unchanged`. */
	readonly expect: string;
};

const account = (spec: Record<string, unknown>): RecordDocument => documentOf('ClientAccount', 'assets', spec);

function summaryOf(result: {ok: true; value: {changed: boolean}} | {ok: false; error: ConfigError}): string {
	if (result.ok) {
		return result.value.changed ? 'changed' : 'unchanged';
	}

	return result.error.kind === 'field_conflict'
		? result.error.conflicts.map(({field, owner}) => `${field}:${owner}`).join(',')
		: result.error.kind;
}

async function run(config: ConfigStore, step: Step): Promise<string> {
	return summaryOf(step.submit
		? await config.submit(step.submit, step.by)
		: await config.withdraw({kind: 'ClientAccount', name: 'assets', ...step.withdraw}, step.by));
}

const created: Step = {by: 'ada', submit: {record: account({weight: 2})}, expect: 'changed'};

// Each case is a history of one record; it guards against one way in which a change could be reverted unnoticed.
const histories: ReadonlyArray<readonly [string, readonly Step[], Record<string, unknown> | undefined]> = [
	['a submit that changes nothing, by anyone', [
		created, {by: 'ben', submit: {record: account({weight: 2})}, expect: 'unchanged'},
	], {weight: 2}],
	['a change of another operator\'s field', [
		created, {by: 'ben', submit: {record: account({weight: 3})}, expect: 'weight:ada'},
	], {weight: 2}],
	['a listed change, after which the old file conflicts', [
		created,
		{by: 'ben', submit: {record: account({weight: 3}), takeOwnership: ['weight']}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 2})}, expect: 'weight:ben'},
	], {weight: 3}],
	['taking over an equal value', [
		created,
		{by: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expect: 'changed'},
		{by: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expect: 'unchanged'},
		{by: 'ada', submit: {record: account({weight: 4})}, expect: 'weight:ben'},
	], {weight: 2}],
	['a new field beside another operator\'s', [
		created,
		{by: 'ben', submit: {record: account({weight: 2, maxAccelerators: 8})}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 5})}, expect: 'changed'},
	], {weight: 5, maxAccelerators: 8}],
	['a removed field that an old file names', [
		{by: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 2})}, expect: 'changed'},
		{by: 'ben', submit: {record: account({weight: 2, maxAccelerators: 8})}, expect: 'maxAccelerators:ada'},
	], {weight: 2}],
	['a listed field that the document leaves out', [
		{by: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expect: 'changed'},
		{by: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['maxAccelerators']}, expect: 'changed'},
	], {weight: 2}],
	['an older base where fields differ, of the same operator', [
		created,
		{by: 'ada', submit: {record: account({weight: 3})}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 2}), baseRevision: 1}, expect: 'weight:ada'},
		{by: 'ada', submit: {record: account({weight: 2}), baseRevision: 1, takeOwnership: ['weight']}, expect: 'weight:ada'},
		{by: 'ada', submit: {record: account({weight: 2}), baseRevision: 2}, expect: 'changed'},
	], {weight: 2}],
	['an older base where the changed field is untouched', [
		{by: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 2, maxAccelerators: 9})}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 3, maxAccelerators: 9}), baseRevision: 1}, expect: 'changed'},
	], {weight: 3, maxAccelerators: 9}],
	['a withdrawal by another operator', [
		created,
		{by: 'ben', withdraw: {}, expect: 'weight:ada'},
		{by: 'ben', withdraw: {takeOwnership: ['weight']}, expect: 'changed'},
		{by: 'ben', withdraw: {}, expect: 'unchanged'},
	], undefined],
	['an old file after the withdrawal', [
		created,
		{by: 'ben', withdraw: {takeOwnership: ['weight']}, expect: 'changed'},
		{by: 'ada', submit: {record: account({weight: 2})}, expect: 'weight:ben'},
		{by: 'ada', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expect: 'changed'},
	], {weight: 2}],
	['a withdrawal on an older base', [
		created,
		{by: 'ada', submit: {record: account({weight: 3})}, expect: 'changed'},
		{by: 'ada', withdraw: {baseRevision: 1}, expect: 'weight:ada'},
	], {weight: 3}],
	['a withdrawal of nothing', [{by: 'ada', withdraw: {}, expect: 'record_not_found'}], undefined],
];

describe('ConfigStore', () => {
	for (const [title, steps, spec] of histories) {
		it(`settles ${title}`, async () => {
			const config = configStoreOn(new FaultyTableStore());
			const outcomes: string[] = [];
			for (const step of steps) {
				outcomes.push(await run(config, step));
			}

			expect(outcomes).to.deep.equal(steps.map(step => step.expect));
			const stored = await config.get('ClientAccount', 'assets');
			expect(stored.ok ? stored.value.spec : undefined).to.deep.equal(spec);
		});
	}

	it('names field, owner and both values of a conflict', async () => {
		const config = configStoreOn(new FaultyTableStore());
		await submitAll(config, [POLICY]);
		const changed = documentOf('Policy', 'closing', {...POLICY.spec, weights: {...POLICY.spec.weights as Record<string, unknown>, peak: 9}});
		const result = await config.submit({record: changed}, 'ben');
		expect(!result.ok && result.error).to.deep.include({
			kind: 'field_conflict',
			conflicts: [{
				field: 'weights.peak', owner: 'ada', currentValue: 1, submittedValue: 9,
			}],
		});
		const taken = await config.submit({record: changed, takeOwnership: ['weights']}, 'ben');
		expect(taken.ok).to.equal(true);
	});

	// Guards against a writer of an older version that drops or takes over fields it does not know.
	it('keeps the version 2 fields when a version 1 writer submits', async () => {
		const config = configStoreOn(new FaultyTableStore());
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V2]);
		await submitAll(config, [documentOf('Guarantee', 'assets-catania', {...GUARANTEE, count: 3})]);
		const stored = await config.get('Guarantee', 'assets-catania');
		expect(stored.ok && stored.value).to.deep.include({schemaVersion: 2, spec: {...GUARANTEE_V2.spec, count: 3}});
		expect(stored.ok && stored.value.fields.adjacency).to.deep.equal({owner: 'ada', revision: 3});
	});

	// Guards against an older program that drops or hides what a newer one stored.
	it('keeps fields of a newer program, and reads the record without them', async () => {
		const store = new FaultyTableStore();
		const config = configStoreOn(store);
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V2]);
		const key = 'Guarantee/assets-catania';
		const row = await store.get('records', key);
		const stored = (row.ok ? row.value?.value : undefined) as StoredRecord;
		const newer = {...stored, schemaVersion: 3, fields: {...stored.fields, priority: {value: 7, owner: 'ada', revision: 3}}};
		await store.transact({writeId: 'newer', conditions: [], writes: [{table: 'records', key, value: newer}]});
		await submitAll(config, [documentOf('Guarantee', 'assets-catania', {...GUARANTEE, count: 1}, 2)]);
		const view = await config.get('Guarantee', 'assets-catania');
		expect(view.ok && view.value).to.deep.include({schemaVersion: 3, spec: {...GUARANTEE, count: 1, priority: 7}});
		expect(buildSnapshot(4, [newer]).records.Guarantee.get('assets-catania')).to.deep.equal({...GUARANTEE_V2.spec});
	});

	// Guards against a document that is valid by itself and loses an empty object when it is stored.
	it('accepts documents with empty objects', async () => {
		const operation = {
			workClass: 'short', repeatable: true, shape: {}, maxRunMs: 1000, limits: {},
		};
		await submitAll(configStoreOn(new FaultyTableStore()), [
			documentOf('Service', 'register', {operations: {first: operation}}),
			documentOf('FailureDomain', 'catania', {region: 'sicily', racks: {}}),
			documentOf('Policy', 'closing', {
				...POLICY.spec, lanes: {}, limits: {}, grace: {},
			}),
		]);
	});

	// Guards against a record that is incomplete after one operator removed only the fields it owns.
	it('refuses a merged record that lacks required fields', async () => {
		const config = configStoreOn(new FaultyTableStore());
		const operation = {
			workClass: 'short', repeatable: true, shape: {}, maxRunMs: 1000,
		};
		const both = documentOf('Service', 'register', {operations: {first: operation, second: operation}});
		await submitAll(config, [both]);
		await submitAll(config, [documentOf('Service', 'register', {operations: {first: operation, second: {...operation, maxTaskCount: 4}}})], 'ben');
		const result = await config.submit({record: documentOf('Service', 'register', {operations: {first: operation}})}, 'ada');
		expect(!result.ok && result.error.kind === 'invalid_record' && result.error.problems.map(({path}) => path)).to.include('spec.operations.second.workClass');
	});

	it('keeps records of both versions side by side', async () => {
		const config = configStoreOn(new FaultyTableStore());
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V1, {...GUARANTEE_V2, name: 'second'}]);
		const listed = await config.list('Guarantee');
		expect(listed.ok && listed.value.records.map(record => record.schemaVersion)).to.deep.equal([1, 2]);
	});

	const crossChecks: ReadonlyArray<readonly [string, readonly RecordDocument[], RecordDocument, ConfigErrorCode, readonly string[]]> = [
		['a guarantee of nobody', [DOMAIN], GUARANTEE_V1, 'missing_reference', ['ClientAccount/assets']],
		['a guarantee without account and place', [], GUARANTEE_V1, 'missing_reference', ['ClientAccount/assets', 'FailureDomain/catania']],
		['an account of an unknown service', [], account({weight: 1, services: ['register']}), 'missing_reference', ['Service/register']],
		['a policy for an unknown failure domain', [], documentOf('Policy', 'p', {...POLICY.spec, failureDomains: ['suva']}), 'missing_reference', ['FailureDomain/suva']],
		['a second default policy', [POLICY], {...POLICY, name: 'other'}, 'ambiguous_policy', ['closing', 'other']],
		['guarantees that do not pack', [DOMAIN, ACCOUNT], documentOf('Guarantee', 'g', {...GUARANTEE, count: 99}), 'guarantees_do_not_pack', ['99 shapes do not fit 2 workers']],
	];
	for (const [title, before, document, code, names] of crossChecks) {
		it(`refuses ${title}`, async () => {
			const config = configStoreOn(new FaultyTableStore(), (racks, guarantees) => {
				const count = guarantees.reduce((sum, guarantee) => sum + guarantee.count, 0);
				return count > 10 ? `${count} shapes do not fit ${racks.flatMap(rack => rack.workers).length} workers` : undefined;
			});
			await submitAll(config, before);
			const result = await config.submit({record: document}, 'ada');
			expect(summaryOf(result)).to.equal(code);
			for (const name of names) {
				const [kind, recordName] = name.split('/');
				const shown = JSON.stringify(!result.ok && result.error);
				expect(shown).to.include(recordName === undefined ? name : `"kind":"${kind}","name":"${recordName}"`);
			}
		});
	}

	it('refuses a withdrawal of a referenced record and names the referrers', async () => {
		const config = configStoreOn(new FaultyTableStore());
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V1]);
		const result = await config.withdraw({kind: 'ClientAccount', name: 'assets'}, 'ada');
		expect(!result.ok && result.error).to.deep.include({kind: 'still_referenced', referencedBy: [{kind: 'Guarantee', name: 'assets-catania'}]});
	});

	// Guards against a smaller failure domain under existing guarantees.
	it('re-checks guarantees when racks change', async () => {
		const config = configStoreOn(new FaultyTableStore(), racks => racks[0]!.workers.length < 2 ? 'too small' : undefined);
		await submitAll(config, [DOMAIN, ACCOUNT, GUARANTEE_V1]);
		const smaller = documentOf('FailureDomain', 'catania', {region: 'sicily', racks: {'rack-a': {workers: [(DOMAIN.spec.racks as {'rack-a': {workers: unknown[]}})['rack-a'].workers[0]]}}});
		expect(summaryOf(await config.submit({record: smaller}, 'ada'))).to.equal('guarantees_do_not_pack');
	});

	const faults: ReadonlyArray<readonly [string, readonly FaultKind[], string, number]> = [
		['an answer lost after the write', ['lost_after_effect'], 'changed', 1],
		['a request lost on the way', ['lost_before_effect'], 'changed', 1],
		['a request and then an answer lost', ['lost_before_effect', 'lost_after_effect'], 'changed', 1],
		['a request delivered twice', ['duplicated'], 'changed', 1],
		['a request lost and then delivered twice', ['lost_before_effect', 'duplicated'], 'changed', 1],
		['a store that refuses for a while', ['unavailable', 'unavailable'], 'changed', 1],
		['a store that refuses', Array.from({length: 5}, () => 'unavailable' as const), 'store_unavailable', 0],
		['a lost request and then a store that refuses', ['lost_before_effect', 'unavailable'], 'changed', 1],
		['a store that stays silent', Array.from({length: 5}, () => 'lost_before_effect' as const), 'outcome_unknown', 0],
	];
	for (const [title, transactFaults, outcome, revision] of faults) {
		// Guards against a change applied twice or reported wrongly after a lost acknowledgement.
		it(`reports truthfully after ${title}`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(...transactFaults);
			const config = configStoreOn(store);
			expect(summaryOf(await config.submit({record: ACCOUNT}, 'ada'))).to.equal(outcome);
			const listed = await config.list();
			expect(listed.ok && listed.value.revision).to.equal(revision);
		});
	}

	for (const fault of ['duplicated', 'lost_after_effect'] as const) {
		// Guards against taking one's own change for another operator's when the rows cannot be read back at first.
		it(`reports a change as accepted after ${fault} and failed reads`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(fault, ...Array.from({length: 4}, () => 'unavailable' as const));
			store.readBackFaults.push(...Array.from({length: fault === 'duplicated' ? 4 : 16}, () => 'unavailable' as const));
			expect(await configStoreOn(store).submit({record: ACCOUNT}, 'ada')).to.deep.equal({ok: true, value: {revision: 1, changed: true}});
		});
	}

	it('checks afresh when another operator comes first', async () => {
		const store = new FaultyTableStore();
		const config = configStoreOn(store);
		await submitAll(config, [ACCOUNT]);
		store.beforeNextTransact(async () => {
			await configStoreOn(store).submit({record: account({weight: 7}), takeOwnership: ['weight']}, 'ben');
		});

		expect(summaryOf(await config.submit({record: account({weight: 3})}, 'ada'))).to.equal('weight:ben');
	});

	// Guards against taking the revision of another change for one's own when the request was lost.
	it('does not take another change for its own after a lost request', async () => {
		const store = new FaultyTableStore();
		store.transactFaults.push('lost_before_effect');
		store.beforeNextTransact(async () => {
			await configStoreOn(store).submit({record: POLICY}, 'ben');
		});

		const result = await configStoreOn(store).submit({record: ACCOUNT}, 'ada');
		expect(result).to.deep.equal({ok: true, value: {revision: 2, changed: true}});
	});

	// Guards against an inconsistent set of records when a scan comes from an older copy.
	it('refuses to decide on stale reads', async () => {
		const store = new FaultyTableStore();
		await submitAll(configStoreOn(store), [ACCOUNT, DOMAIN]);
		store.readFault = 'stale_read';
		expect(summaryOf(await configStoreOn(store).submit({record: GUARANTEE_V1}, 'ada'))).to.equal('contention');
	});

	it('reports a record that the table service does not accept', async () => {
		const racks = Object.fromEntries(Array.from({length: 3000}, (_, index) => [`rack-${index}`, {workers: [WORKER]}]));
		const result = await configStoreOn(new FaultyTableStore()).submit({record: documentOf('FailureDomain', 'catania', {region: 'sicily', racks})}, 'ada');
		expect(summaryOf(result)).to.equal('invalid_record');
	});

	it('accepts concurrent submits of several processes one after another', async () => {
		const store = new FaultyTableStore();
		const results = await Promise.all(['a', 'b', 'c', 'd', 'e'].map(async name => configStoreOn(store).submit({record: {...ACCOUNT, name}}, name)));
		expect(results.map(result => result.ok && result.value.revision)).to.have.members([1, 2, 3, 4, 5]);
	});

	it('gives up after a bounded number of races', async () => {
		const store = new FaultyTableStore();
		let races = 0;
		const race = async (): Promise<void> => {
			races++;
			await configStoreOn(store).submit({record: {...ACCOUNT, name: `other-${races}`}}, 'ben');
			store.beforeNextTransact(race);
		};

		store.beforeNextTransact(race);
		expect(summaryOf(await configStoreOn(store).submit({record: ACCOUNT}, 'ada'))).to.equal('contention');
		expect(races).to.equal(10);
	});

	it('shows in a diff what a submit would do, each on top of the ones before', async () => {
		const config = configStoreOn(new FaultyTableStore());
		await submitAll(config, [account({weight: 2})]);
		const diffs = await config.diff([DOMAIN, GUARANTEE_V1, account({weight: 3}), account({weight: 2}), {kind: 'Policy'}], 'ben');
		expect(diffs.ok && diffs.value.map(({action, refusal}) => `${action} ${refusal?.code ?? ''}`)).to.deep.equal([
			'create ', 'create ', 'refuse field_conflict', 'none ', 'refuse invalid_record',
		]);
		const listed = await config.list();
		expect(listed.ok && listed.value.revision).to.equal(1);
	});
});
