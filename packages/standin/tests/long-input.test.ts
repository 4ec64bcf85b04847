import {SystemClock, type TaskAssignment} from '@amaranthsail/core';
import {HttpObjectStore} from '@amaranthsail/backing-services';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';
import {expect} from 'chai';
import {CAPACITY} from './contracts/worker-runtime-cases.js';
import {startPlatform, startWorker} from '@amaranthsail/standin';

const key = {jobId: 'job', attempt: 1, taskIndex: 0};

const task: TaskAssignment = {
	account: 'alpha', service: 'register', operation: 'revaluation', endpointId: 'endpoint-1', shape: CAPACITY, accelerators: [0], taskCount: 1,
	repeatable: true, checkpointable: false, inputKey: 'inputs/job/digest',
};

describe('long inputs', () => {
	// Guards against a task that runs without its input because the input was too long for the start command.
	it('are loaded before the start, and a task without its input does not start', async () => {
		const platform = await startPlatform();
		const worker = await startWorker({objectStoreAddress: platform.address});
		const objects = new HttpObjectStore({address: platform.address});
		const runtime = new HttpWorkerRuntime({address: worker.address});
		const leaseUntilMs = new SystemClock().monotonicMs() + 10_000;
		try {
			const startWithoutInput = await runtime.start(key, task, leaseUntilMs);
			expect(startWithoutInput.ok ? 'started' : startWithoutInput.error.kind).to.equal('unavailable');
			expect(worker.runtime.executions()).to.deep.equal([]);
			await objects.put('inputs/job/digest', new TextEncoder().encode('{"runMs":60000}'));
			const startWithInput = await runtime.start(key, task, leaseUntilMs);
			expect(startWithInput.ok ? startWithInput.value.state : startWithInput.error.kind).to.equal('running');
		} finally {
			await Promise.all([worker.close(), platform.close(), objects.close()]);
		}
	});
});
