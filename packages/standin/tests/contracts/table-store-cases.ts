import {expect} from 'chai';
import type {Result} from '@amaranthsail/core';
import type {
	FaultPlan, TableError, TableStore, Transaction,
} from '@amaranthsail/backing-services';

/** A table store under test and its fault plan. */
export type TableHarness = {readonly store: TableStore; readonly faults: FaultPlan};

/** One case of the contract of {@link TableStore}; the comment in each case names the fault that it guards against. */
export type TableCase = {readonly title: string; run(harness: TableHarness): Promise<void>};

/**
 * Creates a transaction that writes one row.
 *
 * @param key - Key of the row in the table `jobs`.
 * @param version - The required current version.
 * @param value - The value; undefined deletes the row.
 * @returns The transaction.
 */
export function writeRow(key: string, version: number, value?: Readonly<Record<string, unknown>>): Transaction {
	return {writeId: `write-${key}-${version}`, conditions: [{table: 'jobs', key, version}], writes: [{table: 'jobs', key, value}]};
}

/**
 * Returns the value of a result that has to be a success.
 *
 * @param result - The result.
 * @returns The value.
 */
export function valueOf<Value>(result: Result<Value, {readonly kind: string}>): Value {
	if (!result.ok) {
		throw new Error(`unexpected error: ${JSON.stringify(result.error)}`);
	}

	return result.value;
}

/**
 * Returns the error kind of a result that has to be a failure.
 *
 * @param result - The result.
 * @returns The error kind; a text with the value when the result is a success.
 */
export function errorKindOf(result: Result<unknown, {readonly kind: string}>): string {
	return result.ok ? `success: ${JSON.stringify(result.value)}` : result.error.kind;
}

function injectFault(faults: FaultPlan, operation: string, kind: 'unavailable' | 'lost_before_effect' | 'lost_after_effect' | 'duplicated' | 'stale_read'): void {
	faults.use(call => ({kind: call.operation === operation ? kind : 'none'}));
}

/** The contract of every table store. */
export const TABLE_CASES: readonly TableCase[] = [
	{
		// A key with separators or non-ASCII letters that addresses another row.
		title: 'distinguishes rows whose keys differ only in separators',
		async run({store}) {
			const keys = ['a/b', 'a%2Fb', 'a b', 'a?b#c', 'ä/..', 'a//b', '..', 'a/'];
			for (const key of keys) {
				expect(valueOf(await store.transact(writeRow(key, 0, {key})))).to.deep.equal([1]);
			}

			for (const key of keys) {
				expect(valueOf(await store.get('jobs', key))).to.deep.equal({key, value: {key}, version: 1});
			}
		},
	},
	{
		// An absent row that is reported as an error, or an error that is reported as an absent row.
		title: 'returns undefined for an absent row and no rows for an absent table',
		async run({store}) {
			expect(valueOf(await store.get('jobs', 'absent'))).to.equal(undefined);
			expect(valueOf(await store.scan('jobs', {limit: 5}))).to.deep.equal([]);
		},
	},
	{
		// A transaction that takes effect only in part.
		title: 'writes nothing when one of several conditions fails, and names exactly those',
		async run({store}) {
			valueOf(await store.transact(writeRow('a', 0, {n: 1})));
			const result = await store.transact({
				writeId: 'both',
				conditions: [{table: 'jobs', key: 'a', version: 1}, {table: 'jobs', key: 'b', version: 4}],
				writes: [{table: 'jobs', key: 'a', value: {n: 2}}, {table: 'jobs', key: 'b', value: {n: 2}}],
			});
			expect(result).to.deep.equal({ok: false, error: {kind: 'condition_failed', failed: [{table: 'jobs', key: 'b', version: 4}]}});
			expect(valueOf(await store.get('jobs', 'a'))?.value).to.deep.equal({n: 1});
			expect(valueOf(await store.get('jobs', 'b'))).to.equal(undefined);
		},
	},
	{
		// A late request with an old version that matches a row which was deleted and created again.
		title: 'never reuses a version after deletion and re-creation',
		async run({store}) {
			valueOf(await store.transact(writeRow('a', 0, {n: 1})));
			expect(valueOf(await store.transact(writeRow('a', 1)))).to.deep.equal([0]);
			expect(valueOf(await store.get('jobs', 'a'))).to.equal(undefined);
			const [version] = valueOf(await store.transact(writeRow('a', 0, {n: 2})));
			expect(version).to.be.greaterThan(1);
			expect(errorKindOf(await store.transact(writeRow('a', 1, {n: 3})))).to.equal('condition_failed');
		},
	},
	{
		// A client that relies on deduplication by write id, which the service does not provide.
		title: 'applies a transaction without conditions again under the same write id',
		async run({store}) {
			const transaction: Transaction = {writeId: 'same', conditions: [], writes: [{table: 'jobs', key: 'a', value: {}}]};
			expect(valueOf(await store.transact(transaction))).to.deep.equal([1]);
			expect(valueOf(await store.transact(transaction))).to.deep.equal([2]);
		},
	},
	{
		// A scan that skips or repeats rows at a page boundary, or returns rows outside its prefix.
		title: 'returns the pages of a prefix in key order',
		async run({store}) {
			for (const key of ['p/3', 'q/1', 'p/1', 'o/9', 'p/2', 'p/10']) {
				valueOf(await store.transact(writeRow(key, 0, {})));
			}

			valueOf(await store.transact(writeRow('p/2', 1)));
			const first = valueOf(await store.scan('jobs', {prefix: 'p/', limit: 2}));
			const second = valueOf(await store.scan('jobs', {prefix: 'p/', after: first.at(-1)!.key, limit: 2}));
			expect([...first, ...second].map(({key}) => key)).to.deep.equal(['p/1', 'p/10', 'p/3']);
			expect(valueOf(await store.scan('jobs', {prefix: 'p/', after: 'z', limit: 2}))).to.deep.equal([]);
			expect(valueOf(await store.scan('jobs', {prefix: 'p/', after: 'a', limit: 1}))[0]?.key).to.equal('p/1');
		},
	},
	{
		// A row or transaction that is accepted in tests although the real service refuses it.
		title: 'rejects a value over 256 KiB, a transaction over 100 rows, and a row written twice',
		async run({store}) {
			const rows = Array.from({length: 101}, (_, index) => ({table: 'jobs', key: `k${index}`, value: {}}));
			expect(errorKindOf(await store.transact(writeRow('long', 0, {text: 'x'.repeat(256 * 1024)})))).to.equal('rejected');
			expect(errorKindOf(await store.transact({writeId: 'many', conditions: [], writes: rows}))).to.equal('rejected');
			expect(errorKindOf(await store.transact({writeId: 'twice', conditions: [], writes: [rows[0]!, rows[0]!]}))).to.equal('rejected');
			expect(valueOf(await store.transact({writeId: 'most', conditions: [], writes: rows.slice(1)}))).to.have.length(100);
		},
	},
	{
		// A stored value that changes when a caller modifies the object that it wrote or read.
		title: 'does not share values with its callers',
		async run({store}) {
			const value = {list: [1]};
			valueOf(await store.transact(writeRow('a', 0, value)));
			value.list.push(2);
			(valueOf(await store.get('jobs', 'a'))!.value as typeof value).list.push(3);
			expect(valueOf(await store.get('jobs', 'a'))!.value).to.deep.equal({list: [1]});
		},
	},
	...createFaultCase('refused', 'unavailable', 'unavailable', 0),
	...createFaultCase('lost before the effect', 'lost_before_effect', 'outcome_unknown', 0),
	...createFaultCase('executed but not answered', 'lost_after_effect', 'outcome_unknown', 1),
	...createFaultCase('delivered twice', 'duplicated', 'condition_failed', 1),
	{
		// A lost read that is reported as an unknown outcome, which has no meaning for a read.
		title: 'reports a lost read as unavailable',
		async run({store, faults}) {
			for (const kind of ['unavailable', 'lost_before_effect', 'lost_after_effect'] as const) {
				faults.use(() => ({kind}));
				expect(errorKindOf(await store.get('jobs', 'a'))).to.equal('unavailable');
				expect(errorKindOf(await store.scan('jobs', {limit: 1}))).to.equal('unavailable');
			}
		},
	},
	{
		// An emulator whose reads are always current, so that no test covers an outdated row.
		title: 'reads the row before its last write under stale reads',
		async run({store, faults}) {
			valueOf(await store.transact(writeRow('a', 0, {n: 1})));
			valueOf(await store.transact(writeRow('a', 1, {n: 2})));
			injectFault(faults, 'get', 'stale_read');
			expect(valueOf(await store.get('jobs', 'a'))?.version).to.equal(1);
			faults.clear();
			expect(valueOf(await store.get('jobs', 'a'))?.version).to.equal(2);
		},
	},
	{
		// A request that overtakes a delayed one: the conditions of the delayed one have to hold when it takes effect, not when it was sent.
		title: 'checks the conditions of a delayed transaction when it takes effect',
		async run({store, faults}) {
			faults.use(({sequence, key}) => ({kind: 'none', delayMs: key === 'write-a-0' && sequence > 0 ? 50 : 0}));
			const delayed = store.transact(writeRow('a', 0, {from: 'delayed'}));
			valueOf(await store.transact({...writeRow('a', 0, {from: 'other'}), writeId: 'other'}));
			expect(errorKindOf(await delayed)).to.equal('condition_failed');
			expect(valueOf(await store.get('jobs', 'a'))?.value).to.deep.equal({from: 'other'});
		},
	},
];

function createFaultCase(title: string, kind: Parameters<typeof injectFault>[2], expected: TableError['kind'], versionAfter: number): readonly TableCase[] {
	return [{
		// An error kind that claims more than is known about the effect.
		title: `reports ${expected} for a transaction that is ${title}`,
		async run({store, faults}) {
			injectFault(faults, 'transact', kind);
			expect(errorKindOf(await store.transact(writeRow('a', 0, {n: 1})))).to.equal(expected);
			faults.clear();
			expect(valueOf(await store.get('jobs', 'a'))?.version ?? 0).to.equal(versionAfter);
		},
	}];
}
