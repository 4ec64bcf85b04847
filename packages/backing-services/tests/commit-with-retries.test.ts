import {expect} from 'chai';
import fc from 'fast-check';
import {ManualClock, type Result} from '@amaranthsail/core';
import {
	commitDurably, MemoryTableStore, type CommitOptions, type Row, type RowValue, type TableError, type TableStore, type Transaction,
} from '@amaranthsail/backing-services';

/** What someone else does to the rows, or the network to the requests that it holds. */
type Interference = {readonly kind: 'write' | 'delete'; readonly key: string} | {readonly kind: 'landLate'};

type Step = {
	/** What happens to the request; `late` takes effect at the next `landLate` or after the test. */
	readonly request: 'answer' | 'unavailable' | 'lostBefore' | 'lostAfter' | 'late';
	readonly before: readonly Interference[];
};

const OWN_ID = 'own';

/** A store whose requests meet a script and whose effects are counted. */
class ScriptedStore implements TableStore {
	readonly inner = new MemoryTableStore();
	effects = 0;
	readonly #steps: Step[];
	#late: Transaction[] = [];

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
		const lost: Result<never, TableError> = {ok: false, error: {kind: 'outcome_unknown', message: step.request}};
		switch (step.request) {
			case 'unavailable': {
				return {ok: false, error: {kind: 'unavailable', message: 'refused'}};
			}

			case 'lostBefore': {
				return lost;
			}

			case 'late': {
				this.#late.push(transaction);
				return lost;
			}

			case 'lostAfter': {
				await this.#apply(transaction);
				return lost;
			}

			case 'answer': {
				return this.#apply(transaction);
			}
		}
	}

	async interfere(actions: readonly Interference[]): Promise<void> {
		for (const action of actions) {
			if (action.kind === 'landLate') {
				await this.landLate();
				continue;
			}

			await this.inner.transact({
				writeId: 'other', conditions: [], writes: [{table: 'jobs', key: action.key, value: action.kind === 'write' ? {writeId: 'other'} : undefined}],
			});
		}
	}

	async landLate(): Promise<void> {
		const late = this.#late;
		this.#late = [];
		for (const transaction of late) {
			await this.#apply(transaction);
		}
	}

	async #apply(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const result = await this.inner.transact(transaction);
		this.effects += result.ok && transaction.writeId === OWN_ID ? 1 : 0;
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

/** A transaction on job `a` and its index `b` under the ownership row `o`, as owners write them. */
function ownTransaction(versions: {readonly o?: number; readonly a?: number; readonly b?: number}, indexValue: RowValue | undefined = {}): Transaction {
	return {
		writeId: OWN_ID,
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
	readonly effects: number;
	readonly transaction?: Transaction;
	readonly readFaults?: ScriptedStore['readFaults'];
};

// Rows `o`, `a` and `b` have version 1 before each case.
const CASES: readonly Case[] = [
	{
		title: 'commits at once', steps: [], expected: 'committed', effects: 1,
	},
	{
		title: 'retries while the service refuses',
		steps: [{request: 'unavailable', before: []}, {request: 'unavailable', before: []}],
		expected: 'committed',
		effects: 1,
	},
	{
		title: 'reports unavailable when every request was refused',
		steps: Array.from({length: 5}, () => ({request: 'unavailable' as const, before: []})),
		expected: 'unavailable',
		effects: 0,
	},
	{
		title: 'finds its write id after a lost answer', steps: [{request: 'lostAfter', before: []}], expected: 'committed', effects: 1,
	},
	{
		title: 'finds its write id in the one row that was not written again',
		steps: [{request: 'lostAfter', before: []}, {request: 'answer', before: [writeA]}],
		readFaults: ['unavailable', 'unavailable'],
		expected: 'committed',
		effects: 1,
	},
	{
		title: 'writes once when the first request is lost', steps: [{request: 'lostBefore', before: []}], expected: 'committed', effects: 1,
	},
	{
		title: 'takes a failed condition on its own repetition for a commit when its write id is there',
		steps: [{request: 'lostAfter', before: []}],
		readFaults: ['stale_read', 'stale_read'],
		expected: 'committed',
		effects: 1,
	},
	{
		title: 'does not claim "not written" when both rows were written again since',
		steps: [{request: 'lostAfter', before: []}, {request: 'answer', before: [writeA, writeB]}],
		readFaults: ['unavailable', 'unavailable'],
		expected: 'outcome_unknown',
		effects: 1,
	},
	{
		title: 'does not claim "not written" when someone else may have been first',
		steps: [{request: 'lostBefore', before: []}, {request: 'answer', before: [writeA, writeB]}],
		expected: 'outcome_unknown',
		effects: 0,
	},
	{
		title: 'reports a failed condition once the ownership has changed and its rows have not',
		steps: [{request: 'late', before: []}, {request: 'answer', before: [writeO]}],
		expected: 'condition_failed',
		effects: 0,
	},
	{
		title: 'reports a failed condition on the only request', steps: [{request: 'answer', before: [writeA, writeB]}], expected: 'condition_failed', effects: 0,
	},
	{
		title: 'does not send a transaction without conditions on its rows again',
		transaction: ownTransaction({o: 1}),
		steps: [{request: 'lostBefore', before: []}],
		expected: 'outcome_unknown',
		effects: 0,
	},
];

async function openStore(steps: readonly Step[], readFaults?: ScriptedStore['readFaults']): Promise<ScriptedStore> {
	const store = new ScriptedStore(steps, readFaults);
	await store.interfere([writeO, writeA, writeB]);
	return store;
}

describe('commitDurably', () => {
	// Each case guards against a wrong claim about the effect of a transaction, or a second effect.
	for (const {title, steps, expected, effects, transaction, readFaults} of CASES) {
		it(title, async () => {
			const store = await openStore(steps, readFaults);
			const result = await commitDurably(store, transaction ?? ownTransaction({o: 1, a: 1, b: 1}), commitOptions());
			await store.landLate();
			expect(result.ok ? 'committed' : result.error.kind).to.equal(expected);
			expect(store.effects).to.equal(effects);
		});
	}

	// Guards against retries that outlast the caller's patience.
	it('stops at the largest duration', async () => {
		const options = {...commitOptions(), maxAttempts: 1000, maxDurationMs: 300};
		const store = await openStore(Array.from({length: 1000}, () => ({request: 'unavailable', before: []})));
		const result = await commitDurably(store, ownTransaction({a: 1}), options);
		expect(result.ok).to.equal(false);
		expect(options.clock.monotonicMs()).to.be.within(1, 300);
	});

	// Guards against a service that gets one request twice and answers the second.
	it('recognises its own write behind a duplicated request', async () => {
		const store = new MemoryTableStore();
		store.faults.use(({operation}) => ({kind: operation === 'transact' ? 'duplicated' : 'none'}));
		const result = await commitDurably(store, ownTransaction({a: 0, b: 0}), commitOptions());
		expect(result).to.deep.equal({ok: true, value: [1, 1]});
	});

	// Guards against a false claim or a second effect in any order of faults, late requests and other writers.
	it('never makes a false claim under random faults and other writers', async () => {
		const interference = fc.array(fc.oneof(
			fc.record({kind: fc.constantFrom('write' as const, 'delete' as const), key: fc.constantFrom('o', 'a', 'b')}),
			fc.constant({kind: 'landLate' as const}),
		), {maxLength: 3});
		const step = fc.record({request: fc.constantFrom('answer' as const, 'unavailable' as const, 'lostBefore' as const, 'lostAfter' as const, 'late' as const), before: interference});
		const version = fc.constantFrom(0, 1);
		const seen = new Set<string>();
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
				const present = Object.entries(versions).filter(([, expected]) => expected === 1).map(([key]) => ({kind: 'write' as const, key}));
				await store.interfere(present);
				const transaction = ownTransaction(versions, deletesIndex ? undefined : {});
				const result = await commitDurably(store, transaction, {...commitOptions(), maxAttempts: 3});
				const outcome = result.ok ? 'committed' : result.error.kind;
				seen.add(outcome);
				if (outcome === 'committed') {
					expect(store.effects).to.be.greaterThan(0);
				}

				await store.interfere(after);
				await store.landLate();
				if (outcome === 'condition_failed' || outcome === 'unavailable') {
					expect(store.effects).to.equal(0);
				}

				if (versions.a === 1 || versions.b === 1) {
					expect(store.effects).to.be.lessThan(2);
				}
			},
		), {numRuns: 2000, seed: 11});
		expect([...seen].toSorted()).to.deep.equal(['committed', 'condition_failed', 'outcome_unknown', 'unavailable']);
	});
});
