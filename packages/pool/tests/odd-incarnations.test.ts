import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {decodeIncarnationRow, decodeRunRow, TABLES} from '@amaranthsail/pool';

describe('pool core with incarnations that another writer has stored', () => {
	const odd = ['w1@99999999999999999999', `w1@${Number.MAX_SAFE_INTEGER}`, 'w1@1e999', 'w1', 'w1@', 'w1@x', '@', '', 'w1@1000@99999999999999'];
	const rows: ReadonlyArray<{readonly title: string; readonly write: (harness: PoolHarness, incarnation: string) => void}> = [
		{
			title: 'a run row',
			write(harness, life) {
				harness.write(TABLES.runs, 'odd.0.0.0', {run: 1, life});
			},
		},
		{
			title: 'a crash in a run row',
			write(harness, life) {
				harness.write(TABLES.runs, 'odd.0.0.0', {run: 1, crashes: [{life, evidence: 'atStart', isConfirmed: false}]});
			},
		},
		{
			title: 'a row of the lives table',
			write(harness, life) {
				harness.write(TABLES.lives, 'w1', {life});
			},
		},
	];
	for (const {title, write} of rows) {
		for (const incarnation of odd) {
			it(`uses the workers that report despite ${title} with "${incarnation}"`, () => {
				const worker = new FakeWorker('w1');
				const harness = new PoolHarness([worker]);
				harness.submit('odd', 'normal', [makeStep()]);
				harness.submit('good', 'normal', [makeStep()]);
				write(harness, incarnation);
				harness.replaceLeader();
				harness.recoverLeader();
				harness.advance(500);
				expect(worker.started).to.include('good.0.0.0#1');
			});
		}
	}
});

describe('decodeRunRow and decodeIncarnationRow', () => {
	for (const life of ['w1', 'w1@', 'w1@x', 'w1@-1', 'w1@1.5', 'w1@1e9', `w1@${2 ** 53}`, 'w1@99999999999999999999', '@1', 'a\nb@1', 'w1@1@2', `${'w'.repeat(200)}@1`, 7, {}]) {
		it(`can't read the incarnation ${JSON.stringify(life).slice(0, 30)}`, () => {
			expect(decodeRunRow({run: 1, life})).to.equal(undefined);
			expect(decodeRunRow({run: 1, crashes: [{life, evidence: 'atStart'}]})).to.deep.equal({run: 1, crashes: []});
			expect(decodeIncarnationRow({life})).to.equal(undefined);
		});
	}

	it('read an incarnation', () => {
		expect(decodeRunRow({run: 1, life: 'i-7f3a91c2@1765000000000'})).to.deep.equal({run: 1, life: 'i-7f3a91c2@1765000000000'});
		expect(decodeIncarnationRow({life: 'w1@1'})).to.deep.equal({life: 'w1@1'});
	});
});
