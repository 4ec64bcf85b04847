import {expect} from 'chai';
import type {FaultKind} from '@amaranthsail/backing-services';
import {
	ACCOUNT, FAILURE_DOMAIN, GUARANTEE_SPEC, GUARANTEE_V1, GUARANTEE_V2, POLICY, WORKER, createConfigStore, documentOf, submitAll,
} from './support/documents.js';
import {FaultyTableStore} from './support/faulty-table-store.js';
import {
	buildSnapshot, type ConfigError, type ConfigErrorCode, type ConfigStore, type RecordDocument, type StoredRecord, type SubmitRequest,
} from '@amaranthsail/records';

type Step = {
	readonly operator: string;
	readonly submit?: SubmitRequest;
	readonly withdraw?: {readonly takeOwnership?: readonly string[]; readonly baseRevision?: number};
	/** The conflicts as `field:owner`, an error code, `changed` or `unchanged`. */
	readonly expected: string;
};

const account = (spec: Record<string, unknown>): RecordDocument => documentOf('ClientAccount', 'assets', spec);

function summarize(result: {ok: true; value: {changed: boolean}} | {ok: false; error: ConfigError}): string {
	if (result.ok) {
		return result.value.changed ? 'changed' : 'unchanged';
	}

	return result.error.kind === 'field_conflict'
		? result.error.conflicts.map(({field, owner}) => `${field}:${owner}`).join(',')
		: result.error.kind;
}

async function run(config: ConfigStore, step: Step): Promise<string> {
	return summarize(step.submit
		? await config.submit(step.submit, step.operator)
		: await config.withdraw({kind: 'ClientAccount', name: 'assets', ...step.withdraw}, step.operator));
}

const created: Step = {operator: 'ada', submit: {record: account({weight: 2})}, expected: 'changed'};

// Each case is a sequence of changes of one record and guards against one way in which a change could be silently reverted.
const histories: ReadonlyArray<readonly [string, readonly Step[], Record<string, unknown> | undefined]> = [
	['a submit that changes nothing, by anyone', [
		created, {operator: 'ben', submit: {record: account({weight: 2})}, expected: 'unchanged'},
	], {weight: 2}],
	['a change of another operator\'s field', [
		created, {operator: 'ben', submit: {record: account({weight: 3})}, expected: 'weight:ada'},
	], {weight: 2}],
	['a change that takes over the field, after which the old file conflicts', [
		created,
		{operator: 'ben', submit: {record: account({weight: 3}), takeOwnership: ['weight']}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 2})}, expected: 'weight:ben'},
	], {weight: 3}],
	['taking over an equal value', [
		created,
		{operator: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expected: 'changed'},
		{operator: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expected: 'unchanged'},
		{operator: 'ada', submit: {record: account({weight: 4})}, expected: 'weight:ben'},
	], {weight: 2}],
	['a new field beside a field of another operator', [
		created,
		{operator: 'ben', submit: {record: account({weight: 2, maxAccelerators: 8})}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 5})}, expected: 'changed'},
	], {weight: 5, maxAccelerators: 8}],
	['a removed field that an old file contains', [
		{operator: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 2})}, expected: 'changed'},
		{operator: 'ben', submit: {record: account({weight: 2, maxAccelerators: 8})}, expected: 'maxAccelerators:ada'},
	], {weight: 2}],
	['a field that is taken over and missing from the document', [
		{operator: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expected: 'changed'},
		{operator: 'ben', submit: {record: account({weight: 2}), takeOwnership: ['maxAccelerators']}, expected: 'changed'},
	], {weight: 2}],
	['an older base revision where the operator\'s own field has changed since', [
		created,
		{operator: 'ada', submit: {record: account({weight: 3})}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 2}), baseRevision: 1}, expected: 'weight:ada'},
		{operator: 'ada', submit: {record: account({weight: 2}), baseRevision: 1, takeOwnership: ['weight']}, expected: 'weight:ada'},
		{operator: 'ada', submit: {record: account({weight: 2}), baseRevision: 2}, expected: 'changed'},
	], {weight: 2}],
	['an older base revision where another field has changed since', [
		{operator: 'ada', submit: {record: account({weight: 2, maxAccelerators: 8})}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 2, maxAccelerators: 9})}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 3, maxAccelerators: 9}), baseRevision: 1}, expected: 'changed'},
	], {weight: 3, maxAccelerators: 9}],
	['a withdrawal by another operator', [
		created,
		{operator: 'ben', withdraw: {}, expected: 'weight:ada'},
		{operator: 'ben', withdraw: {takeOwnership: ['weight']}, expected: 'changed'},
		{operator: 'ben', withdraw: {}, expected: 'unchanged'},
	], undefined],
	['an old file after a withdrawal', [
		created,
		{operator: 'ben', withdraw: {takeOwnership: ['weight']}, expected: 'changed'},
		{operator: 'ada', submit: {record: account({weight: 2})}, expected: 'weight:ben'},
		{operator: 'ada', submit: {record: account({weight: 2}), takeOwnership: ['weight']}, expected: 'changed'},
	], {weight: 2}],
	['a withdrawal with an older base revision', [
		created,
		{operator: 'ada', submit: {record: account({weight: 3})}, expected: 'changed'},
		{operator: 'ada', withdraw: {baseRevision: 1}, expected: 'weight:ada'},
	], {weight: 3}],
	['a withdrawal of a record that does not exist', [{operator: 'ada', withdraw: {}, expected: 'record_not_found'}], undefined],
];

describe('ConfigStore', () => {
	for (const [title, steps, spec] of histories) {
		it(`applies or refuses ${title}`, async () => {
			const config = createConfigStore(new FaultyTableStore());
			const outcomes: string[] = [];
			for (const step of steps) {
				outcomes.push(await run(config, step));
			}

			expect(outcomes).to.deep.equal(steps.map(step => step.expected));
			const stored = await config.get('ClientAccount', 'assets');
			expect(stored.ok ? stored.value.spec : undefined).to.deep.equal(spec);
		});
	}

	it('reports field, owner and both values of a conflict', async () => {
		const config = createConfigStore(new FaultyTableStore());
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

	// Guards against a writer of an older schema version that removes or takes over fields that its schema does not define.
	it('keeps the version 2 fields when a version 1 writer submits', async () => {
		const config = createConfigStore(new FaultyTableStore());
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V2]);
		await submitAll(config, [documentOf('Guarantee', 'assets-catania', {...GUARANTEE_SPEC, count: 3})]);
		const stored = await config.get('Guarantee', 'assets-catania');
		expect(stored.ok && stored.value).to.deep.include({schemaVersion: 2, spec: {...GUARANTEE_V2.spec, count: 3}});
		expect(stored.ok && stored.value.fields.adjacency).to.deep.equal({owner: 'ada', revision: 3});
	});

	// Guards against an older program that removes fields of a newer one, or cannot read the record because of them.
	it('keeps fields of a newer program, and reads the record without them', async () => {
		const store = new FaultyTableStore();
		const config = createConfigStore(store);
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V2]);
		const key = 'Guarantee/assets-catania';
		const row = await store.get('records', key);
		const stored = (row.ok ? row.value?.value : undefined) as StoredRecord;
		const newer = {...stored, schemaVersion: 3, fields: {...stored.fields, priority: {value: 7, owner: 'ada', revision: 3}}};
		await store.transact({writeId: 'newer', conditions: [], writes: [{table: 'records', key, value: newer}]});
		await submitAll(config, [documentOf('Guarantee', 'assets-catania', {...GUARANTEE_SPEC, count: 1}, 2)]);
		const view = await config.get('Guarantee', 'assets-catania');
		expect(view.ok && view.value).to.deep.include({schemaVersion: 3, spec: {...GUARANTEE_SPEC, count: 1, priority: 7}});
		expect(buildSnapshot(4, [newer]).records.Guarantee.get('assets-catania')).to.deep.equal({...GUARANTEE_V2.spec});
	});

	// Guards against a valid document that becomes invalid because an empty object is lost when it is stored.
	it('accepts documents with empty objects', async () => {
		const operation = {
			workClass: 'short', repeatable: true, shape: {}, maxRunMs: 1000, limits: {},
		};
		await submitAll(createConfigStore(new FaultyTableStore()), [
			documentOf('Service', 'register', {operations: {first: operation}}),
			documentOf('FailureDomain', 'catania', {region: 'sicily', racks: {}}),
			documentOf('Policy', 'closing', {
				...POLICY.spec, lanes: {}, limits: {}, grace: {},
			}),
		]);
	});

	// Guards against a record that lacks required fields after an operator removed only its own fields.
	it('refuses a merged record that lacks required fields', async () => {
		const config = createConfigStore(new FaultyTableStore());
		const operation = {
			workClass: 'short', repeatable: true, shape: {}, maxRunMs: 1000,
		};
		const both = documentOf('Service', 'register', {operations: {first: operation, second: operation}});
		await submitAll(config, [both]);
		await submitAll(config, [documentOf('Service', 'register', {operations: {first: operation, second: {...operation, maxTaskCount: 4}}})], 'ben');
		const result = await config.submit({record: documentOf('Service', 'register', {operations: {first: operation}})}, 'ada');
		expect(!result.ok && result.error.kind === 'invalid_record' && result.error.problems.map(({path}) => path)).to.include('spec.operations.second.workClass');
	});

	it('stores records of both schema versions', async () => {
		const config = createConfigStore(new FaultyTableStore());
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V1, {...GUARANTEE_V2, name: 'second'}]);
		const listed = await config.list('Guarantee');
		expect(listed.ok && listed.value.records.map(record => record.schemaVersion)).to.deep.equal([1, 2]);
	});

	const crossChecks: ReadonlyArray<readonly [string, readonly RecordDocument[], RecordDocument, ConfigErrorCode, readonly string[]]> = [
		['a guarantee of an unknown account', [FAILURE_DOMAIN], GUARANTEE_V1, 'missing_reference', ['ClientAccount/assets']],
		['a guarantee of an unknown account and failure domain', [], GUARANTEE_V1, 'missing_reference', ['ClientAccount/assets', 'FailureDomain/catania']],
		['an account with an unknown service', [], account({weight: 1, services: ['register']}), 'missing_reference', ['Service/register']],
		['a policy for an unknown failure domain', [], documentOf('Policy', 'p', {...POLICY.spec, failureDomains: ['suva']}), 'missing_reference', ['FailureDomain/suva']],
		['a second default policy', [POLICY], {...POLICY, name: 'other'}, 'ambiguous_policy', ['closing', 'other']],
		['guarantees that do not pack', [FAILURE_DOMAIN, ACCOUNT], documentOf('Guarantee', 'g', {...GUARANTEE_SPEC, count: 99}), 'guarantees_do_not_pack', ['99 shapes do not fit 2 workers']],
	];
	for (const [title, before, document, code, names] of crossChecks) {
		it(`refuses ${title}`, async () => {
			const config = createConfigStore(new FaultyTableStore(), (racks, guarantees) => {
				const count = guarantees.reduce((sum, guarantee) => sum + guarantee.count, 0);
				return count > 10 ? `${count} shapes do not fit ${racks.flatMap(rack => rack.workers).length} workers` : undefined;
			});
			await submitAll(config, before);
			const result = await config.submit({record: document}, 'ada');
			expect(summarize(result)).to.equal(code);
			for (const name of names) {
				const [kind, recordName] = name.split('/');
				const shown = JSON.stringify(!result.ok && result.error);
				expect(shown).to.include(recordName === undefined ? name : `"kind":"${kind}","name":"${recordName}"`);
			}
		});
	}

	it('refuses a withdrawal of a referenced record and lists the referring records', async () => {
		const config = createConfigStore(new FaultyTableStore());
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V1]);
		const result = await config.withdraw({kind: 'ClientAccount', name: 'assets'}, 'ada');
		expect(!result.ok && result.error).to.deep.include({kind: 'still_referenced', referencedBy: [{kind: 'Guarantee', name: 'assets-catania'}]});
	});

	// Guards against a failure domain that becomes too small for its guarantees.
	it('checks guarantees when racks change', async () => {
		const config = createConfigStore(new FaultyTableStore(), racks => racks[0]!.workers.length < 2 ? 'too small' : undefined);
		await submitAll(config, [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V1]);
		const smaller = documentOf('FailureDomain', 'catania', {
			region: 'sicily', racks: {'rack-a': {workers: [(FAILURE_DOMAIN.spec.racks as {'rack-a': {workers: unknown[]}})['rack-a'].workers[0]]}},
		});
		expect(summarize(await config.submit({record: smaller}, 'ada'))).to.equal('guarantees_do_not_pack');
	});

	const faults: ReadonlyArray<readonly [string, readonly FaultKind[], string, number]> = [
		['an answer lost after the write', ['lost_after_effect'], 'changed', 1],
		['a lost request', ['lost_before_effect'], 'changed', 1],
		['a lost request and then a lost answer', ['lost_before_effect', 'lost_after_effect'], 'changed', 1],
		['a request delivered twice', ['duplicated'], 'changed', 1],
		['a lost request and then one delivered twice', ['lost_before_effect', 'duplicated'], 'changed', 1],
		['two refused requests', ['unavailable', 'unavailable'], 'changed', 1],
		['refusals of all requests', Array.from({length: 5}, () => 'unavailable' as const), 'store_unavailable', 0],
		['a lost request and then a refused one', ['lost_before_effect', 'unavailable'], 'changed', 1],
		['the loss of all requests', Array.from({length: 5}, () => 'lost_before_effect' as const), 'outcome_unknown', 0],
	];
	for (const [title, transactFaults, outcome, revision] of faults) {
		// Guards against a change applied twice or reported wrongly after a lost acknowledgement.
		it(`reports the actual outcome after ${title}`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(...transactFaults);
			const config = createConfigStore(store);
			expect(summarize(await config.submit({record: ACCOUNT}, 'ada'))).to.equal(outcome);
			const listed = await config.list();
			expect(listed.ok && listed.value.revision).to.equal(revision);
		});
	}

	for (const fault of ['duplicated', 'lost_after_effect'] as const) {
		// Guards against taking the store's own change for another operator's when the rows cannot be read back at first.
		it(`reports a change as accepted after ${fault} and failed reads`, async () => {
			const store = new FaultyTableStore();
			store.transactFaults.push(fault, ...Array.from({length: 4}, () => 'unavailable' as const));
			store.readBackFaults.push(...Array.from({length: fault === 'duplicated' ? 4 : 16}, () => 'unavailable' as const));
			expect(await createConfigStore(store).submit({record: ACCOUNT}, 'ada')).to.deep.equal({ok: true, value: {revision: 1, changed: true}});
		});
	}

	it('checks a change again when another operator\'s change is accepted first', async () => {
		const store = new FaultyTableStore();
		const config = createConfigStore(store);
		await submitAll(config, [ACCOUNT]);
		store.beforeNextTransact(async () => {
			await createConfigStore(store).submit({record: account({weight: 7}), takeOwnership: ['weight']}, 'ben');
		});

		expect(summarize(await config.submit({record: account({weight: 3})}, 'ada'))).to.equal('weight:ben');
	});

	// Guards against reporting the revision of another change when the request was lost.
	it('does not take another change for its own after a lost request', async () => {
		const store = new FaultyTableStore();
		store.transactFaults.push('lost_before_effect');
		store.beforeNextTransact(async () => {
			await createConfigStore(store).submit({record: POLICY}, 'ben');
		});

		const result = await createConfigStore(store).submit({record: ACCOUNT}, 'ada');
		expect(result).to.deep.equal({ok: true, value: {revision: 2, changed: true}});
	});

	// Guards against an inconsistent set of records when a scan returns stale rows.
	it('does not accept a change that is based on stale reads', async () => {
		const store = new FaultyTableStore();
		await submitAll(createConfigStore(store), [ACCOUNT, FAILURE_DOMAIN]);
		store.readFault = 'stale_read';
		expect(summarize(await createConfigStore(store).submit({record: GUARANTEE_V1}, 'ada'))).to.equal('contention');
	});

	it('reports a record that the table service does not accept', async () => {
		const racks = Object.fromEntries(Array.from({length: 3000}, (_, index) => [`rack-${index}`, {workers: [WORKER]}]));
		const result = await createConfigStore(new FaultyTableStore()).submit({record: documentOf('FailureDomain', 'catania', {region: 'sicily', racks})}, 'ada');
		expect(summarize(result)).to.equal('invalid_record');
	});

	it('accepts concurrent submits of several processes one after another', async () => {
		const store = new FaultyTableStore();
		const results = await Promise.all(['a', 'b', 'c', 'd', 'e'].map(async name => createConfigStore(store).submit({record: {...ACCOUNT, name}}, name)));
		expect(results.map(result => result.ok && result.value.revision)).to.have.members([1, 2, 3, 4, 5]);
	});

	it('reports contention after 10 attempts in which another change was accepted first', async () => {
		const store = new FaultyTableStore();
		let races = 0;
		const race = async (): Promise<void> => {
			races++;
			await createConfigStore(store).submit({record: {...ACCOUNT, name: `other-${races}`}}, 'ben');
			store.beforeNextTransact(race);
		};

		store.beforeNextTransact(race);
		expect(summarize(await createConfigStore(store).submit({record: ACCOUNT}, 'ada'))).to.equal('contention');
		expect(races).to.equal(10);
	});

	it('computes in a diff what submits would do, each applied after the ones before', async () => {
		const config = createConfigStore(new FaultyTableStore());
		await submitAll(config, [account({weight: 2})]);
		const diffs = await config.diff([FAILURE_DOMAIN, GUARANTEE_V1, account({weight: 3}), account({weight: 2}), {kind: 'Policy'}], 'ben');
		expect(diffs.ok && diffs.value.map(({action, refusal}) => `${action} ${refusal?.code ?? ''}`)).to.deep.equal([
			'create ', 'create ', 'refuse field_conflict', 'none ', 'refuse invalid_record',
		]);
		const listed = await config.list();
		expect(listed.ok && listed.value.revision).to.equal(1);
	});
});
