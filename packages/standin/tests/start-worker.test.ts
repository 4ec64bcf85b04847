import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {ManualClock, SystemClock, type EndpointReport, type TaskAssignment} from '@amaranthsail/core';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';
import {valueOf} from './contracts/table-store-cases.js';
import {CAPACITY} from './contracts/worker-runtime-cases.js';
import {fetchJson} from './fetch-json.js';
import {waitUntil} from './wait-until.js';
import {startPlatform, startWorker, type RunningWorker} from '@amaranthsail/standin';

type Announcement = {readonly path: string; readonly endpoint: EndpointReport; readonly atMs: number};

const task: TaskAssignment = {
	account: 'account-1', service: 'register', operation: 'revaluation', endpointId: 'endpoint-1', shape: CAPACITY, accelerators: [0], taskCount: 1,
	repeatable: true, checkpointable: false, inlineInput: '{"runMs":60000}',
};

async function withAgent(run: (worker: RunningWorker, announcements: Announcement[]) => Promise<void>): Promise<void> {
	const announcements: Announcement[] = [];
	const agent = createServer((request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			announcements.push({path: request.url ?? '', endpoint: JSON.parse(Buffer.concat(chunks).toString()) as EndpointReport, atMs: performance.now()});
			response.end('{}');
		});
	});
	agent.listen(0, '127.0.0.1');
	await once(agent, 'listening');
	const {port} = agent.address() as AddressInfo;
	const worker = await startWorker({agentAddress: {host: '127.0.0.1', port}, endpointId: 'vm-1', services: ['register', 'repairs']});
	try {
		await run(worker, announcements);
	} finally {
		await worker.close();
		agent.close();
		agent.closeAllConnections();
	}
}

describe('startWorker', () => {
	// Guards against an agent that considers an endpoint lost between two announcements.
	it('announces each endpoint every second', async () => {
		await withAgent(async (_, announcements) => {
			await waitUntil(() => announcements.length >= 6);
			const register = announcements.filter(({endpoint}) => endpoint.service === 'register');
			expect(register[0]).to.deep.include({path: '/v1/announcements', endpoint: {endpointId: 'vm-1-register', service: 'register', leaving: false}});
			expect(register[2]!.atMs - register[0]!.atMs).to.be.greaterThan(1500);
		});
	});

	// Guards against tests of leaving endpoints in which no endpoint leaves.
	it('announces leaving at once, and sends nothing while silent', async () => {
		await withAgent(async (worker, announcements) => {
			await waitUntil(() => announcements.length === 2);
			await fetchJson(worker.address, 'PUT', '/v1/endpoints', {leaving: true});
			expect(announcements.slice(2).map(({endpoint}) => endpoint.leaving)).to.deep.equal([true, true]);
			const announcementCount = announcements.length;
			await fetchJson(worker.address, 'PUT', '/v1/endpoints', {silent: true, leaving: false});
			expect(announcements).to.have.length(announcementCount);
		});
	});

	// Guards against a task that runs longer than its lease when the worker gets no call.
	it('stops a task at the end of its lease without a call', async () => {
		const worker = await startWorker({capacity: CAPACITY});
		try {
			const startMs = Math.floor(new SystemClock().monotonicMs());
			valueOf(await worker.runtime.start({jobId: 'j', attempt: 1, taskIndex: 0}, task, startMs + 150));
			await waitUntil(() => worker.runtime.executions()[0]!.endMs !== undefined);
			expect(worker.runtime.executions()[0]!.endMs).to.equal(startMs + 150);
		} finally {
			await worker.close();
		}
	});

	// Guards against a restart on another VM that loses the progress of the checkpoint.
	it('continues from a checkpoint that another worker has put into the object store', async () => {
		const platform = await startPlatform();
		const clock = new ManualClock();
		const options = {capacity: CAPACITY, clock, objectStoreAddress: platform.address};
		const [first, second] = [await startWorker(options), await startWorker(options)];
		const client = new HttpWorkerRuntime({address: second.address});
		try {
			const key = {jobId: 'j', attempt: 1, taskIndex: 0};
			valueOf(await first.runtime.start(key, {...task, checkpointable: true}, Number.MAX_SAFE_INTEGER));
			clock.advance(59_000);
			valueOf(await first.runtime.checkpoint(key));
			clock.advance(50);
			const {checkpointKey} = valueOf(await first.runtime.stop(key));
			await waitUntil(async () => valueOf(await platform.objects.get(checkpointKey!)) !== undefined);
			valueOf(await client.start({...key, attempt: 2}, {...task, checkpointKey}, Number.MAX_SAFE_INTEGER));
			clock.advance(1000);
			expect(valueOf(await client.list())[0]?.state).to.equal('finished');
		} finally {
			await client.close();
			await Promise.all([first.close(), second.close(), platform.close()]);
		}
	});

	// Guards against a worker that completes tasks although it is set to fail all of them.
	it('fails every task when so configured', async () => {
		const worker = await startWorker({capacity: CAPACITY, failEverything: true});
		try {
			const started = await worker.runtime.start({jobId: 'j', attempt: 1, taskIndex: 0}, task, Number.MAX_SAFE_INTEGER);
			expect(valueOf(started)).to.include({state: 'failed', reason: 'worker_failed'});
		} finally {
			await worker.close();
		}
	});
});
