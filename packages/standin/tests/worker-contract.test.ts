import {expect} from 'chai';
import {ManualClock} from '@amaranthsail/core';
import {MemoryWorkerRuntime, type Execution} from '@amaranthsail/backing-services';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';
import {valueOf} from './contracts/table-store-cases.js';
import {CAPACITY, WORKER_CASES, type WorkerHarness} from './contracts/worker-runtime-cases.js';
import {fetchJson} from './fetch-json.js';
import {startWorker} from '@amaranthsail/standin';

const START_MS = 100;

async function withEmulator(run: (harness: WorkerHarness) => Promise<void>): Promise<void> {
	const clock = new ManualClock(START_MS);
	const worker = await startWorker({workerId: 'worker-1', capacity: CAPACITY, clock});
	const runtime = new HttpWorkerRuntime({address: worker.address});
	try {
		await run({
			runtime,
			clock,
			faults: worker.runtime.faults,
			async executions() {
				const {body} = await fetchJson(worker.address, 'GET', '/v1/executions');
				return (body as {executions: readonly Execution[]}).executions;
			},
		});
	} finally {
		await runtime.close();
		await worker.close();
	}
}

describe('contract of WorkerRuntime', () => {
	for (const {title, run} of WORKER_CASES) {
		it(`MemoryWorkerRuntime ${title}`, async () => {
			const clock = new ManualClock(START_MS);
			const runtime = new MemoryWorkerRuntime({
				clock, workerId: 'worker-1', rack: 'rack-1', capacity: CAPACITY,
			});
			await run({
				runtime, clock, faults: runtime.faults, executions: async () => runtime.executions(),
			});
		});

		it(`HttpWorkerRuntime with the emulator ${title}`, async () => {
			await withEmulator(run);
		});
	}

	// Guards against a worker that does not provide the facts that its agent announces.
	it('HttpWorkerRuntime with the emulator reads the facts', async () => {
		await withEmulator(async ({runtime}) => {
			expect(valueOf(await runtime.facts())).to.deep.equal({capacity: CAPACITY, rack: 'rack-1'});
		});
	});
});
