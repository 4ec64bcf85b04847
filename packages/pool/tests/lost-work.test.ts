import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness, TEST_CONFIG} from './support/pool-harness.js';
import {type StepSpec} from '@amaranthsail/pool';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

const WITHOUT_ACCELERATORS = {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0};

const MAX_IDLE_WAIT_MS = 2500;

function startsOf(workers: readonly FakeWorker[], jobId: string): string[] {
	return workers.flatMap(worker => worker.started).filter(start => start.startsWith(jobId));
}

function isRunning(workers: readonly FakeWorker[], task: string): boolean {
	return workers.some(worker => worker.runs.has(task));
}

describe('accepted work', () => {
	it('of a queue that the configuration no longer contains runs after a takeover', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep({taskCount: 9})]);
		harness.advance(300);
		harness.configure({...TEST_CONFIG, version: 2, queues: TEST_CONFIG.queues.filter(queue => queue.name !== 'normal')});
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(300);
		for (const task of worker.runs.keys()) {
			worker.end(task, 'done');
		}

		harness.advance(300);
		expect(startsOf([worker], 'j1')).to.have.length(9);
	});

	it('of a recurring job is kept by a new leader whose wall clock is behind', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep()], {spec: {recurrence: {startAtMs: harness.clock.wallMs(), intervalMs: 1000, count: 3}}});
		harness.advance(1500);
		worker.end('j1.0.0.0', 'done');
		harness.advance(300);
		harness.clock.wallOffsetMs = -3000;
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(5500);
		expect(startsOf([worker], 'j1')).to.deep.equal(['j1.0.0.0#1', 'j1.1.0.0#1', 'j1.2.0.0#1']);
	});

	const idleCases: ReadonlyArray<{readonly title: string; readonly capacity?: typeof WITHOUT_ACCELERATORS; readonly step: Partial<StepSpec>}> = [
		{title: 'runs on another rack while half of a service without accelerators is idle', capacity: WITHOUT_ACCELERATORS, step: {shape: {cpuMillis: 32_000, memoryMb: 1000, accelerators: 0}}},
		{title: 'runs on another rack while half of a service is idle', step: {shape: WHOLE_WORKER}},
	];
	for (const {title, capacity, step} of idleCases) {
		it(title, () => {
			const workers = ['r1', 'r2', 'r2', 'r2', 'r2'].map((rack, index) => new FakeWorker(`w${index}`, {labels: ['a', rack], ...(capacity && {capacity})}));
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('first', 'normal', [makeStep({...step, preferredRack: 'r1', estimatedMs: 20_000})]);
			harness.submit('second', 'normal', [makeStep({...step, preferredRack: 'r1', estimatedMs: 20_000})]);
			harness.advance(MAX_IDLE_WAIT_MS);
			expect(isRunning(workers, 'second.0.0.0')).to.equal(true);
		});
	}

	it('runs on another rack while most of a service is idle because its workers are quarantined', () => {
		const workers = ['r0', 'r0', 'r0', 'r0', 'r1', 'r2', 'r2'].map((rack, index) => new FakeWorker(`w${index}`, {labels: [rack === 'r0' ? 'y' : 'a', rack]}));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		for (const id of ['bad1', 'bad2']) {
			harness.submit(id, 'normal', [makeStep({taskCount: 4, maxPerWorker: 1, requiredLabel: 'y'})]);
		}

		harness.submit('long1', 'normal', [makeStep({preferredRack: 'r1', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.submit('long2', 'normal', [makeStep({preferredRack: 'r2', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.runCycle();
		for (const worker of workers.slice(0, 4)) {
			for (const task of worker.runs.keys()) {
				worker.end(task, 'failed');
			}
		}

		harness.runCycle();
		harness.cancel('bad1');
		harness.cancel('bad2');
		harness.submit('waiting', 'normal', [makeStep({preferredRack: 'r1', estimatedMs: 20_000})]);
		harness.advance(MAX_IDLE_WAIT_MS);
		expect(isRunning(workers, 'waiting.0.0.0')).to.equal(true);
	});

	const quarantineCases = [
		{title: 'after failures at once', failAfterMs: 100},
		{title: 'after later failures', failAfterMs: 1000},
	];
	for (const {title, failAfterMs} of quarantineCases) {
		it(`runs on workers quarantined ${title} when all others are unsuitable and the service is idle`, () => {
			const workers = ['x', 'x', 'a', 'a', 'a', 'a'].map((kind, index) => new FakeWorker(`w${index}`, {labels: [kind, 'r1']}));
			const harness = new PoolHarness(workers);
			harness.configure({...TEST_CONFIG, queues: TEST_CONFIG.queues.map(queue => ({...queue, maxAttempts: 3}))});
			harness.runCycle();
			harness.submit('bad1', 'normal', [makeStep({requiredLabel: 'x'})]);
			harness.submit('bad2', 'normal', [makeStep({requiredLabel: 'x'})]);
			for (let attempt = 0; attempt < 2; attempt++) {
				harness.advance(failAfterMs);
				for (const worker of workers) {
					for (const task of worker.runs.keys()) {
						worker.end(task, 'failed');
					}
				}
			}

			harness.advance(200);
			harness.submit('good', 'normal', [makeStep({requiredLabel: 'x'})]);
			harness.advance(MAX_IDLE_WAIT_MS);
			expect(isRunning(workers, 'good.0.0.0')).to.equal(true);
		});
	}

	it('on its last attempt is kept from a quarantined worker that fails everything at once', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.configure({...TEST_CONFIG, queues: TEST_CONFIG.queues.map(queue => ({...queue, maxAttempts: 3}))});
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep()]);
		harness.submit('j2', 'normal', [makeStep()]);
		for (let passedMs = 0; passedMs < 7500; passedMs += 100) {
			harness.advance(100);
			for (const task of worker.runs.keys()) {
				worker.end(task, 'failed');
			}
		}

		expect(startsOf([worker], 'j')).to.have.length(4);
		harness.advance(1500);
		expect([...worker.runs.keys()]).to.deep.equal(['j1.0.0.0', 'j2.0.0.0']);
	});

	it('on its last attempt runs on an unreliable worker when the reliable one stays busy and the service is idle', () => {
		const workers = ['w0', 'w1', 'w2'].map(name => new FakeWorker(name));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('long', 'normal', [makeStep({shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.submit('good', 'normal', [makeStep({shape: WHOLE_WORKER, estimatedMs: 10_000})]);
		harness.submit('other', 'normal', [makeStep({shape: WHOLE_WORKER})]);
		harness.runCycle();
		const idle = workers.filter(worker => !worker.runs.has('long.0.0.0'));
		for (const worker of idle) {
			worker.end([...worker.runs.keys()][0]!, 'failed');
		}

		harness.runCycle();
		harness.cancel('other');
		harness.advance(2000 + MAX_IDLE_WAIT_MS);
		expect(isRunning(workers, 'good.0.0.0')).to.equal(true);
	});

	for (const maxAttempts of [3, 4]) {
		it(`with ${maxAttempts} attempts does not use up its last one on workers that failed it while a sound worker is busy`, () => {
			const workers = ['w0', 'w1', 'w2'].map(name => new FakeWorker(name));
			const harness = new PoolHarness(workers);
			harness.configure({...TEST_CONFIG, queues: TEST_CONFIG.queues.map(queue => ({...queue, maxAttempts}))});
			harness.runCycle();
			harness.submit('long', 'normal', [makeStep({shape: WHOLE_WORKER, estimatedMs: 10_000})]);
			harness.advance(200);
			const sound = workers.find(worker => worker.runs.has('long.0.0.0'))!;
			harness.submit('good', 'normal', [makeStep({estimatedMs: 3000})]);
			for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
				harness.advance(100);
				for (const worker of workers.filter(candidate => candidate !== sound && candidate.runs.has('good.0.0.0'))) {
					worker.end('good.0.0.0', 'failed');
				}
			}

			sound.end('long.0.0.0', 'done');
			harness.advance(300);
			expect(isRunning([sound], 'good.0.0.0')).to.equal(true);
		});
	}

	it('is not kept off capacity reserved for a gang that lasting tasks keep from starting', () => {
		const workers = ['x', 'x', 'a', 'a', 'a', 'a'].map((kind, index) => new FakeWorker(`w${index}`, {labels: [kind, 'r1']}));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('lasting', 'normal', [makeStep({taskCount: 2, maxPerWorker: 1, isLasting: true, estimatedMs: 1000, requiredLabel: 'x'})]);
		harness.advance(2000);
		harness.submit('gang', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER, requiredLabel: 'x'})]);
		harness.advance(1000);
		harness.submit('good', 'batch', [makeStep({requiredLabel: 'x', estimatedMs: 5000})]);
		harness.advance(MAX_IDLE_WAIT_MS);
		expect(isRunning(workers, 'good.0.0.0')).to.equal(true);
	});

	const waitCases: ReadonlyArray<{readonly title: string; readonly busyMs: number; readonly step: Partial<StepSpec>}> = [
		{title: 'is not kept off capacity reserved for a gang while the service is idle', busyMs: 60_000, step: {estimatedMs: 100_000}},
		{title: 'that lasts is not kept off capacity reserved for a gang', busyMs: 60_000, step: {estimatedMs: 100_000, isLasting: true}},
	];
	for (const {title, busyMs, step} of waitCases) {
		it(title, () => {
			const others = step.isLasting ? [] : ['a', 'a', 'a'];
			const workers = ['x', 'x', ...others].map((kind, index) => new FakeWorker(`w${index}`, {labels: [kind, 'r1']}));
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('busy', 'normal', [makeStep({shape: WHOLE_WORKER, requiredLabel: 'x', estimatedMs: busyMs})]);
			harness.advance(200);
			harness.submit('gang', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER, requiredLabel: 'x'})]);
			harness.advance(200);
			harness.submit('good', 'batch', [makeStep({...step, requiredLabel: 'x'})]);
			harness.advance(1500);
			expect(isRunning(workers, 'good.0.0.0')).to.equal(false);
			harness.advance(MAX_IDLE_WAIT_MS - 1500);
			expect(isRunning(workers, 'good.0.0.0')).to.equal(true);
		});
	}

	it('that lasts does not wait for another task of its step that has just ended', () => {
		const workers = ['r1', 'r2', 'r2'].map((rack, index) => new FakeWorker(`w${index}`, {labels: ['a', rack]}));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('busy1', 'normal', [makeStep({preferredRack: 'r1', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.submit('busy2', 'normal', [makeStep({preferredRack: 'r2', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.advance(300);
		harness.submit('lasting', 'normal', [makeStep({taskCount: 2, preferredRack: 'r1', isLasting: true, estimatedMs: 30_000})]);
		harness.advance(MAX_IDLE_WAIT_MS);
		const worker = workers.find(candidate => candidate.runs.has('lasting.0.0.1'))!;
		worker.end('lasting.0.0.1', 'failed');
		harness.advance(1900);
		worker.end('lasting.0.0.0', 'failed');
		harness.advance(MAX_IDLE_WAIT_MS - 1900);
		expect(isRunning(workers, 'lasting.0.0.1')).to.equal(true);
	});

	it('that lasts does not wait for its rack in a busy service', () => {
		const workers = ['r1', 'r2', 'r2'].map((rack, index) => new FakeWorker(`w${index}`, {labels: ['a', rack]}));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('busy1', 'normal', [makeStep({preferredRack: 'r1', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.submit('busy2', 'normal', [makeStep({preferredRack: 'r2', shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.advance(300);
		harness.submit('lasting', 'normal', [makeStep({preferredRack: 'r1', isLasting: true, estimatedMs: 30_000})]);
		harness.advance(MAX_IDLE_WAIT_MS);
		expect(isRunning(workers, 'lasting.0.0.0')).to.equal(true);
	});

	it('that lasts is not kept off the headroom for urgent jobs', () => {
		const workers = ['w0', 'w1', 'w2', 'w3', 'w4'].map(name => new FakeWorker(name));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('urgent', 'urgent', [makeStep({shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.submit('busy', 'normal', [makeStep({taskCount: 3, shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.advance(300);
		harness.submit('lasting', 'normal', [makeStep({isLasting: true})]);
		harness.advance(1500);
		expect(isRunning(workers, 'lasting.0.0.0')).to.equal(false);
		harness.advance(MAX_IDLE_WAIT_MS - 1500);
		expect(isRunning(workers, 'lasting.0.0.0')).to.equal(true);
	});

	const urgentCases = [
		{title: 'the same job', submissions: [{id: 'j1', account: 'north', taskCount: 2}]},
		{title: 'another job of the account', submissions: [{id: 'j1', account: 'north', taskCount: 1}, {id: 'j2', account: 'north', taskCount: 1}]},
		{title: 'a job of another account', submissions: [{id: 'j1', account: 'north', taskCount: 1}, {id: 'j2', account: 'south', taskCount: 1}]},
	];
	for (const {title, submissions} of urgentCases) {
		it(`that is urgent and uses no accelerators is not stopped for ${title}`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			for (const {id, account, taskCount} of submissions) {
				harness.submit(id, 'urgent', [makeStep({taskCount, shape: {cpuMillis: 32_000, memoryMb: 1000, accelerators: 0}})], {account});
				harness.advance(500);
			}

			harness.advance(1000);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
			expect([...worker.runs.keys()]).to.deep.equal(['j1.0.0.0']);
		});
	}

	const clockCases = [
		{title: 'the wall clock is set forward after its end', wallOffsetMs: [0, 7_200_000], hasNewLeader: false},
		{title: 'its end was recorded while the wall clock was behind', wallOffsetMs: [-7_200_000, 0], hasNewLeader: false},
		{title: 'the wall clock of a new leader is ahead', wallOffsetMs: [0, 7_200_000], hasNewLeader: true},
	];
	for (const {title, wallOffsetMs: [beforeMs, afterMs], hasNewLeader} of clockCases) {
		it(`stays known when ${title}`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.clock.wallOffsetMs = beforeMs!;
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.advance(300);
			worker.end('j1.0.0.0', 'done');
			harness.advance(300);
			harness.clock.wallOffsetMs = afterMs!;
			if (hasNewLeader) {
				harness.replaceLeader();
				harness.recoverLeader();
			}

			harness.advance(60_000);
			expect(harness.core.jobView('j1')?.state).to.equal('completed');
		});
	}
});
