import {expect} from 'chai';
import {
	chooseBySwitches, MemoryTableStore, type Fault, type FaultOperation, type FaultSwitches, type Transaction,
} from '@amaranthsail/backing-services';

const write: FaultOperation = {
	service: 'tables', operation: 'transact', key: 'w', hasEffect: true, sequence: 1,
};
const read: FaultOperation = {...write, operation: 'get', hasEffect: false};
const readObject: FaultOperation = {...read, service: 'objects'};

const SWITCH_CASES: ReadonlyArray<{
	readonly title: string; readonly switches: FaultSwitches; readonly operations: readonly FaultOperation[]; readonly expected: ReadonlyArray<Fault['kind']>;
}> = [
	{
		title: 'applies to all operations', switches: {unavailable: true}, operations: [write, read], expected: ['unavailable', 'unavailable'],
	},
	{
		title: 'skips and counts only matching operations',
		switches: {
			loseAnswersAfterEffect: true, operations: ['transact'], skip: 1, count: 1,
		},
		operations: [write, read, write, write],
		expected: ['none', 'none', 'lost_after_effect', 'none'],
	},
	{
		title: 'applies only to the listed services', switches: {unavailable: true, services: ['objects']}, operations: [read, readObject], expected: ['none', 'unavailable'],
	},
	{
		title: 'duplicates only changes', switches: {duplicateRequests: true}, operations: [write, read], expected: ['duplicated', 'none'],
	},
	{
		title: 'makes only reads stale', switches: {staleReads: true}, operations: [write, read], expected: ['none', 'stale_read'],
	},
	{
		title: 'truncates only reads of objects', switches: {truncateObjects: true}, operations: [read, readObject], expected: ['none', 'truncated'],
	},
	{
		title: 'loses requests', switches: {loseRequestsBeforeEffect: true}, operations: [write], expected: ['lost_before_effect'],
	},
];

describe('chooseBySwitches', () => {
	// Each case guards against faults in other operations than a test requests, so that the test does not check what it claims to.
	for (const {title, switches, operations, expected} of SWITCH_CASES) {
		it(title, () => {
			const chooseFault = chooseBySwitches(switches);
			expect(operations.map(operation => chooseFault(operation).kind)).to.deep.equal(expected);
		});
	}
});

describe('FaultPlan', () => {
	// Guards against a late change that takes effect early, twice, or without its conditions.
	it('holds late changes back and applies them in order', async () => {
		const store = new MemoryTableStore();
		const create = (n: number): Transaction => ({writeId: `w${n}`, conditions: [{table: 't', key: 'k', version: 0}], writes: [{table: 't', key: 'k', value: {n}}]});
		store.faults.use(() => ({kind: 'late'}));
		const results = [await store.transact(create(1)), await store.transact(create(2))];
		store.faults.clear();
		expect(results.map(result => result.ok ? 'success' : result.error.kind)).to.deep.equal(['outcome_unknown', 'outcome_unknown']);
		expect(await store.get('t', 'k')).to.deep.equal({ok: true, value: undefined});
		expect([store.faults.applyLateChanges(), store.faults.applyLateChanges()]).to.deep.equal([2, 0]);
		expect(await store.get('t', 'k')).to.deep.equal({ok: true, value: {key: 'k', value: {n: 1}, version: 1}});
	});
});
