import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {JOB_STATES} from '@amaranthsail/pool';

describe('an end that cannot be read', () => {
	it('is never acknowledged, also not by a later one, and its task is started again', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		for (const id of ['j1', 'j2', 'j3']) {
			harness.submit(id, 'normal', [makeStep()]);
		}

		harness.advance(500);
		worker.end('j1.0.0.0', 'done');
		worker.end('j2.0.0.0', 'unreadable');
		worker.end('j3.0.0.0', 'done');
		harness.advance(1000);
		expect(worker.ackSequence).to.equal(1);
		expect(worker.started.filter(start => start.startsWith('j2.'))).to.deep.equal(['j2.0.0.0#1', 'j2.0.0.0#2']);
		expect(harness.core.jobView('j3')?.state).to.equal(JOB_STATES.completed);
		expect(harness.events('end unreadable').map(({task, run, sequence}) => ({task, run, sequence}))).to.deep.equal([{task: 'j2.0.0.0', run: 1, sequence: 2}]);

		// The rules count an end once it is acknowledged, so it must not be once the task has run again.
		worker.end('j2.0.0.0', 'done');
		harness.advance(1000);
		expect(harness.core.jobView('j2')?.state).to.equal(JOB_STATES.completed);
		expect(worker.ackSequence).to.equal(1);
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(1000);
		expect(worker.ackSequence).to.equal(1);
	});
});
