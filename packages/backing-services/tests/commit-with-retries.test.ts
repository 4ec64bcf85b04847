import {expect} from 'chai';
import fc from 'fast-check';
import {ManualClock, type Result} from '@amaranthsail/core';
import {
	commitWithRetries, MemoryTableStore, type CommitOptions, type Row, type RowValue, type TableError, type TableStore, type Transaction,
} from '@amaranthsail/backing-services';

/** A write or deletion by another writer, or the delayed delivery of the late requests. */
type Interference = {readonly kind: 'write' | 'delete'; readonly key: string} | {readonly kind: 'applyLate'};

type Step = {
	/** Handling of the request; a `late` request takes effect at the next `applyLate` or after the test. */
	readonly request: 'answer' | 'unavailable' | 'lostBefore' | 'lostAfter' | 'late';
	readonly before: readonly Interference[];
};

const OWN_WRITE_ID = 'own';

/** A store that handles requests by a script and counts their effects. */
class ScriptedStore implements TableStore {
	readonly inner = new MemoryTableStore();
	effectCount = 0;
	readonly #steps: Step[];
	#lateTransactions: Transaction[] = [];

	constructor(steps: readonly Step[], readonly readFaults: ReadonlyArray<'none' | 'stale_read' | 'unavailable'> = []) {
		this.#steps = [...steps];
		let reads = 0;
		this.inner.faults.use(({hasEffect}) => {
			reads += hasEffect ? 0 : 1;
			return {kind: hasEffect ? 'none' : readFaults[reads - 1] ?? 'none'};
		});
	}

	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		return this.inner.get(table, key);
	}

	async scan(table: string, options: {readonly limit: number}): Promise<Result<readonly Row[], TableError>> {
		return this.inner.scan(table, options);
	}

	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const step = this.#steps.shift() ?? {request: 'answer', before: []};
		await this.interfere(step.before);
		const outcomeUnknown: Result<never, TableError> = {ok: false, error: {kind: 'outcome_unknown', message: step.request}};
		switch (step.request) {
			case 'unavailable': {
				return {ok: false, error: {kind: 'unavailable', message: 'refused'}};
			}

			case 'lostBefore': {
				return outcomeUnknown;
			}

			case 'late': {
				this.#lateTransactions.push(transaction);
				return outcomeUnknown;
			}

			case 'lostAfter': {
				await this.#apply(transaction);
				return outcomeUnknown;
			}

			case 'answer': {
				return this.#apply(transaction);
			}
		}
	}

	async interfere(actions: readonly Interference[]): Promise<void> {
		for (const action of actions) {
			if (action.kind === 'applyLate') {
				await this.applyLateTransactions();
				continue;
			}

			await this.inner.transact({
				writeId: 'other', conditions: [], writes: [{table: 'jobs', key: action.key, value: action.kind === 'write' ? {writeId: 'other'} : undefined}],
			});
		}
	}

	async applyLateTransactions(): Promise<void> {
		const lateTransactions = this.#lateTransactions;
		this.#lateTransactions = [];
		for (const transaction of lateTransactions) {
			await this.#apply(transaction);
		}
	}

	async #apply(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const result = await this.inner.transact(transaction);
		this.effectCount += result.ok && transaction.writeId === OWN_WRITE_ID ? 1 : 0;
		return result;
	}
}

function commitOptions(): CommitOptions {
	const clock = new ManualClock();
	return {
		clock,
		random: () => 0.5,
		async wait(delayMs) {
			clock.advance(delayMs);
		},
	};
}

/** A transaction on job `a` and its index row `b`, on condition of the ownership row `o`, as owners write it. */
function ownTransaction(versions: {readonly o?: number; readonly a?: number; readonly b?: number}, indexValue: RowValue | undefined = {}): Transaction {
	return {
		writeId: OWN_WRITE_ID,
		conditions: Object.entries(versions).map(([key, version]) => ({table: 'jobs', key, version})),
		writes: [{table: 'jobs', key: 'a', value: {state: 'own'}}, {table: 'jobs', key: 'b', value: indexValue}],
	};
}

const writeA: Interference = {kind: 'write', key: 'a'};
const writeB: Interference = {kind: 'write', key: 'b'};
const writeO: Interference = {kind: 'write', key: 'o'};

type Case = {
	readonly title: string;
	readonly steps: readonly Step[];
	readonly expected: 'committed' | TableError['kind'];
	readonly effectCount: number;
	readonly transaction?: Transaction;
	readonly readFaults?: ScriptedStore['readFaults'];
};

// Rows `o`, `a` and `b` have version 1 before each case.
const CASES: readonly Case[] = [
	{
		title: 'commits at the first attempt', steps: [], expected: 'committed', effectCount: 1,
	},
	{
		title: 'retries while the service refuses requests',
		steps: [{request: 'unavailable', before: []}, {request: 'unavailable', before: []}],
		expected: 'committed',
		effectCount: 1,
	},
	{
		title: 'reports unavailable when every request was refused',
		steps: Array.from({length: 5}, () => ({request: 'unavailable' as const, before: []})),
		expected: 'unavailable',
		effectCount: 0,
	},
	{
		title: 'finds its write id after a lost response', steps: [{request: 'lostAfter', before: []}], expected: 'committed', effectCount: 1,
	},
	{
		title: 'finds its write id in the only row that was not written again',
		steps: [{request: 'lostAfter', before: []}, {request: 'answer', before: [writeA]}],
		readFaults: ['unavailable', 'unavailable'],
		expected: 'committed',
		effectCount: 1,
	},
	{
		title: 'writes once when the first request is lost', steps: [{request: 'lostBefore', before: []}], expected: 'committed', effectCount: 1,
	},
	{
		title: 'reports a commit when its own retry fails a condition and its write id is found',
		steps: [{request: 'lostAfter', before: []}],
		readFaults: ['stale_read', 'stale_read'],
		expected: 'committed',
		effectCount: 1,
	},
	{
		title: 'does not report "not written" when both rows were written again',
		steps: [{request: 'lostAfter', before: []}, {request: 'answer', before: [writeA, writeB]}],
		readFaults: ['unavailable', 'unavailable'],
		expected: 'outcome_unknown',
		effectCount: 1,
	},
	{
		title: 'does not report "not written" when another writer may have overwritten the rows',
		steps: [{request: 'lostBefore', before: []}, {request: 'answer', before: [writeA, writeB]}],
		expected: 'outcome_unknown',
		effectCount: 0,
	},
	{
		title: 'reports a failed condition when the ownership has changed and its rows have not',
		steps: [{request: 'late', before: []}, {request: 'answer', before: [writeO]}],
		expected: 'condition_failed',
		effectCount: 0,
	},
	{
		title: 'reports a failed condition on the only request', steps: [{request: 'answer', before: [writeA, writeB]}], expected: 'condition_failed', effectCount: 0,
	},
	{
		title: 'does not resend a transaction without conditions on the rows that it writes',
		transaction: ownTransaction({o: 1}),
		steps: [{request: 'lostBefore', before: []}],
		expected: 'outcome_unknown',
		effectCount: 0,
	},
];

async function openStore(steps: readonly Step[], readFaults?: ScriptedStore['readFaults']): Promise<ScriptedStore> {
	const store = new ScriptedStore(steps, readFaults);
	await store.interfere([writeO, writeA, writeB]);
	return store;
}

describe('commitWithRetries', () => {
	// Each case guards against a wrong report of a transaction's outcome, or a second effect.
	for (const {title, steps, expected, effectCount, transaction, readFaults} of CASES) {
		it(title, async () => {
			const store = await openStore(steps, readFaults);
			const result = await commitWithRetries(store, transaction ?? ownTransaction({o: 1, a: 1, b: 1}), commitOptions());
			await store.applyLateTransactions();
			expect(result.ok ? 'committed' : result.error.kind).to.equal(expected);
			expect(store.effectCount).to.equal(effectCount);
		});
	}

	// Guards against retries that continue after the caller's time limit.
	it('stops at the maximum duration', async () => {
		const options = {...commitOptions(), maxAttempts: 1000, maxDurationMs: 300};
		const store = await openStore(Array.from({length: 1000}, () => ({request: 'unavailable', before: []})));
		const result = await commitWithRetries(store, ownTransaction({a: 1}), options);
		expect(result.ok).to.equal(false);
		expect(options.clock.monotonicMs()).to.be.within(1, 300);
	});

	// Guards against a commit reported as failed when the network delivers a request twice and the response is that to the second delivery.
	it('recognises its own write after a duplicated request', async () => {
		const store = new MemoryTableStore();
		store.faults.use(({operation}) => ({kind: operation === 'transact' ? 'duplicated' : 'none'}));
		const result = await commitWithRetries(store, ownTransaction({a: 0, b: 0}), commitOptions());
		expect(result).to.deep.equal({ok: true, value: [1, 1]});
	});

	// Guards against a wrong outcome or a second effect in any order of faults, late requests and other writers.
	it('never reports a wrong outcome under random faults and other writers', async () => {
		const interference = fc.array(fc.oneof(
			fc.record({kind: fc.constantFrom('write' as const, 'delete' as const), key: fc.constantFrom('o', 'a', 'b')}),
			fc.constant({kind: 'applyLate' as const}),
		), {maxLength: 3});
		const step = fc.record({request: fc.constantFrom('answer' as const, 'unavailable' as const, 'lostBefore' as const, 'lostAfter' as const, 'late' as const), before: interference});
		const version = fc.constantFrom(0, 1);
		const outcomes = new Set<string>();
		await fc.assert(fc.asyncProperty(
			fc.record({
				steps: fc.array(step, {maxLength: 6}),
				readFaults: fc.array(fc.constantFrom('none' as const, 'stale_read' as const, 'unavailable' as const), {maxLength: 10}),
				versions: fc.record({o: version, a: version, b: version}, {requiredKeys: []}),
				deletesIndex: fc.boolean(),
				after: interference,
			}),
			async ({
				steps, readFaults, versions, deletesIndex, after,
			}) => {
				const store = new ScriptedStore(steps, readFaults);
				const presentRows = Object.entries(versions).filter(([, expected]) => expected === 1).map(([key]) => ({kind: 'write' as const, key}));
				await store.interfere(presentRows);
				const transaction = ownTransaction(versions, deletesIndex ? undefined : {});
				const result = await commitWithRetries(store, transaction, {...commitOptions(), maxAttempts: 3});
				const outcome = result.ok ? 'committed' : result.error.kind;
				outcomes.add(outcome);
				if (outcome === 'committed') {
					expect(store.effectCount).to.be.greaterThan(0);
				}

				await store.interfere(after);
				await store.applyLateTransactions();
				if (outcome === 'condition_failed' || outcome === 'unavailable') {
					expect(store.effectCount).to.equal(0);
				}

				if (versions.a === 1 || versions.b === 1) {
					expect(store.effectCount).to.be.lessThan(2);
				}
			},
		), {numRuns: 2000, seed: 11});
		expect([...outcomes].toSorted()).to.deep.equal(['committed', 'condition_failed', 'outcome_unknown', 'unavailable']);
	});
});
