import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import type {FaultPlan, ObjectStore} from '@amaranthsail/backing-services';
import {errorKindOf, valueOf} from './table-store-cases.js';

/** An object store under test and its fault plan. */
export type ObjectHarness = {readonly store: ObjectStore; readonly faults: FaultPlan};

/** One case of the contract of {@link ObjectStore}; the comment in each case names the fault that it guards against. */
export type ObjectCase = {readonly title: string; run(harness: ObjectHarness): Promise<void>};

const bytes = Buffer.from([0, 255, 10, 13, 123]);

/** The contract of every object store. */
export const OBJECT_CASES: readonly ObjectCase[] = [
	{
		// Bytes that are changed by a text conversion in transit.
		title: 'returns the bytes that were put, an empty object included',
		async run({store}) {
			for (const content of [bytes, Buffer.alloc(0), Buffer.alloc(3_000_000, 7)]) {
				valueOf(await store.put('answers/j/1/0', content));
				expect(Buffer.from(valueOf(await store.get('answers/j/1/0'))!).equals(content)).to.equal(true);
			}
		},
	},
	{
		// An absent object that is reported as an empty one or as an error.
		title: 'returns undefined for an absent object, and deletes it without an error',
		async run({store}) {
			expect(valueOf(await store.get('absent'))).to.equal(undefined);
			valueOf(await store.put('x', bytes));
			valueOf(await store.delete('x'));
			valueOf(await store.delete('x'));
			expect(valueOf(await store.get('x'))).to.equal(undefined);
		},
	},
	{
		// A truncated answer that a reader accepts: only the digest reveals it, so the store has to return it unchanged.
		title: 'returns a truncated object unchanged',
		async run({store, faults}) {
			valueOf(await store.put('x', bytes));
			faults.use(() => ({kind: 'truncated'}));
			expect(valueOf(await store.get('x'))).to.have.length(2);
		},
	},
	{
		// An outdated answer after the object was replaced.
		title: 'reads the object before its last change under stale reads',
		async run({store, faults}) {
			valueOf(await store.put('x', bytes));
			faults.use(() => ({kind: 'stale_read'}));
			expect(valueOf(await store.get('x'))).to.equal(undefined);
		},
	},
	...([
		['unavailable', 'unavailable', false],
		['lost_before_effect', 'outcome_unknown', false],
		['lost_after_effect', 'outcome_unknown', true],
	] as const).map(([kind, expected, isStored]) => ({
		// An error kind that claims more than is known about the effect.
		title: `reports ${expected} for a put under ${kind}`,
		async run({store, faults}: ObjectHarness) {
			faults.use(() => ({kind}));
			expect(errorKindOf(await store.put('x', bytes))).to.equal(expected);
			expect(errorKindOf(await store.get('x'))).to.equal('unavailable');
			faults.clear();
			expect(valueOf(await store.get('x')) !== undefined).to.equal(isStored);
		},
	})),
];
