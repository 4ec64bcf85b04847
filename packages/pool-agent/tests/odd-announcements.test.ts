import {expect} from 'chai';
import {err, ManualClock, silentLogger} from '@amaranthsail/core';
import {
	type OrderOutcome, type PoolStore, REFUSALS, type WorkerFacts, type WorkerPort, type WorkerState, WORKER_STATES,
} from '@amaranthsail/pool';
import {PoolAgentCore, type WatchAnswer} from '@amaranthsail/pool-agent';

const FAR_FUTURE_MS = Number.MAX_SAFE_INTEGER;

const STORE: PoolStore = {
	transact: async () => err({kind: 'unavailable', message: 'down'}),
	read: async () => err({kind: 'unavailable', message: 'down'}),
	follow: async () => err({kind: 'unavailable', message: 'down'}),
};

/** The process that listens on the worker's port. */
class ListeningWorker implements WorkerPort {
	/** Undefined while the port refuses connections. */
	present: {readonly id: string; readonly bornMs: number | undefined} | undefined = {id: 'w1', bornMs: 5};
	isSilent = false;
	#clockMs = 0;

	async order(): Promise<{outcome: OrderOutcome}> {
		return {outcome: {kind: 'done'}};
	}

	async renewLease({workerId}: Parameters<WorkerPort['renewLease']>[0]): ReturnType<WorkerPort['renewLease']> {
		if (this.isSilent) {
			return {kind: 'unknown', message: 'no answer'};
		}

		if (!this.present) {
			return {kind: 'gone'};
		}

		const {id, bornMs} = this.present;
		if (workerId !== undefined && workerId !== id) {
			return {kind: 'refused', reason: REFUSALS.otherLife};
		}

		this.#clockMs++;
		return {
			kind: 'lists',
			lists: {
				clockMs: this.#clockMs, ...(bornMs !== undefined && {bornMs}), running: [{
					task: `run-of-${bornMs}`, run: 1, checkpoint: '', percent: 0,
				}], ended: [],
			},
		};
	}
}

class Fixture {
	readonly worker = new ListeningWorker();
	readonly #clock = new ManualClock(50_000);
	readonly #agent = new PoolAgentCore({
		clock: this.#clock, logger: silentLogger, store: STORE, worker: this.worker, leaseMs: 6000, incarnation: 'a/1', sleep: async () => undefined,
	});

	#sequence = 0;

	async heartbeat(id: string, startedAtMs: number, state: WorkerState = WORKER_STATES.ready): Promise<void> {
		this.#sequence++;
		const facts: WorkerFacts = {
			life: `${id}@${startedAtMs}`, id, service: 'registry', failureDomain: 'catania', state, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
		};
		this.#agent.onHeartbeat(facts, this.#sequence, startedAtMs);
		await settle();
	}

	async leave(id: string): Promise<void> {
		this.#agent.onLeave(id);
		await settle();
	}

	/** Lets time pass, and the agent poll its worker through a heartbeat that is out of order. */
	async poll(advanceMs: number): Promise<void> {
		this.#clock.advance(advanceMs);
		await this.heartbeat('prober', 1);
	}

	async watch(): Promise<WatchAnswer> {
		return await this.#agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0}) as WatchAnswer;
	}

	/** @returns Incarnations that are reported to have left in an orderly way. */
	async left(): Promise<readonly string[]> {
		const {leftLives} = await this.watch();
		return leftLives;
	}

	/** @returns The reported incarnation, its state, and the tasks in its lists. */
	async reported(): Promise<string> {
		const {report} = await this.watch();
		return report ? `${report.facts.life} ${report.facts.state} ${report.lists?.running.map(run => run.task).join(',') ?? 'without lists'}` : 'none';
	}
}

async function settle(): Promise<void> {
	for (let turn = 0; turn < 3; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

describe('Heartbeats of another writer', () => {
	const others = [
		{title: 'of a far later incarnation', id: 'w1', startedAtMs: FAR_FUTURE_MS},
		{title: 'of a slightly later incarnation', id: 'w1', startedAtMs: 6},
		{title: 'of another worker', id: 'w2', startedAtMs: 4},
		{title: 'of another worker that is far later', id: 'w2', startedAtMs: FAR_FUTURE_MS},
		{title: 'of another worker with the same start time', id: 'w2', startedAtMs: 5},
	];
	for (const {title, id, startedAtMs} of others) {
		it(`${title} don't replace a worker that answers`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat('w1', 5);
			await fixture.heartbeat(id, startedAtMs);
			await fixture.heartbeat(id, startedAtMs);
			expect(await fixture.reported()).to.equal('w1@5 ready run-of-5');
			await fixture.heartbeat('w1', 5, WORKER_STATES.draining);
			expect(await fixture.reported()).to.equal('w1@5 draining run-of-5');
		});

		it(`${title} aren't reported, and don't keep out the worker's own, when they come first`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat(id, startedAtMs);
			expect(await fixture.reported()).to.equal('none');
			await fixture.heartbeat('w1', 5);
			expect(await fixture.reported()).to.equal('w1@5 ready run-of-5');
		});

		it(`${title} don't replace a worker that doesn't answer for a while`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat('w1', 5);
			fixture.worker.isSilent = true;
			await fixture.heartbeat(id, startedAtMs);
			await fixture.heartbeat('w1', 5);
			expect(await fixture.reported()).to.equal('w1@5 ready run-of-5');
			fixture.worker.isSilent = false;
			await fixture.heartbeat(id, startedAtMs);
			expect(await fixture.reported()).to.equal('w1@5 ready run-of-5');
		});
	}
});

describe('Heartbeats of a worker that has started again', () => {
	const restarts = [
		{title: 'under its id', id: 'w1', bornMs: 9},
		{title: 'under its id after its clock was set back', id: 'w1', bornMs: 3},
		{title: 'under another id', id: 'w3', bornMs: 9},
	];
	for (const {title, id, bornMs} of restarts) {
		it(`${title} replace the earlier incarnation`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat('w1', 5);
			fixture.worker.present = {id, bornMs};
			await fixture.heartbeat(id, bornMs);
			expect(await fixture.reported()).to.equal(`${id}@${bornMs} ready run-of-${bornMs}`);
		});

		it(`${title} replace the earlier incarnation once the port is open`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat('w1', 5);
			fixture.worker.present = undefined;
			await fixture.heartbeat(id, bornMs);
			fixture.worker.present = {id, bornMs};
			await fixture.heartbeat(id, bornMs, WORKER_STATES.draining);
			expect(await fixture.reported()).to.equal(`${id}@${bornMs} draining run-of-${bornMs}`);
		});

		it(`${title} replace the earlier incarnation after heartbeats of another writer`, async () => {
			const fixture = new Fixture();
			await fixture.heartbeat('w1', 5);
			fixture.worker.present = undefined;
			await fixture.heartbeat(id, FAR_FUTURE_MS);
			await fixture.heartbeat('w2', FAR_FUTURE_MS);
			fixture.worker.present = {id, bornMs};
			await fixture.heartbeat(id, bornMs);
			expect(await fixture.reported()).to.equal(`${id}@${bornMs} ready run-of-${bornMs}`);
		});
	}

	it('replace the earlier incarnation by their order when the lists have no start time', async () => {
		const fixture = new Fixture();
		fixture.worker.present = {id: 'w1', bornMs: undefined};
		await fixture.heartbeat('w1', 5);
		await fixture.heartbeat('w1', 4);
		expect(await fixture.reported()).to.match(/^w1@5 /v);
		await fixture.heartbeat('w1', 6);
		expect(await fixture.reported()).to.match(/^w1@6 /v);
	});
});

describe('A deregistration', () => {
	it('of a worker that answers is not believed', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.leave('w1');
		await fixture.poll(3000);
		expect(await fixture.reported()).to.equal('w1@5 ready run-of-5');
		expect(await fixture.left()).to.deep.equal([]);
	});

	it('is forgotten when the worker goes on answering, so that its later crash is not a planned end', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.leave('w1');
		await fixture.poll(3000);
		fixture.worker.present = undefined;
		await fixture.poll(100);
		expect(await fixture.left()).to.deep.equal([]);
	});

	it('of another worker changes nothing', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.leave('w2');
		fixture.worker.present = undefined;
		await fixture.poll(100);
		expect(await fixture.left()).to.deep.equal([]);
	});

	it('is believed once the port refuses connections', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.leave('w1');
		fixture.worker.present = undefined;
		await fixture.poll(100);
		expect(await fixture.reported()).to.equal('none');
		expect(await fixture.left()).to.deep.equal(['w1@5']);
	});

	// A worker that gets no acknowledgement goes on for some seconds; its tasks were started elsewhere at once.
	it('of a draining worker is not believed while the worker answers, and at the first refused connection', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.heartbeat('w1', 5, WORKER_STATES.draining);
		await fixture.leave('w1');
		expect(await fixture.left()).to.deep.equal([]);
		await fixture.poll(3000);
		expect(await fixture.reported()).to.equal('w1@5 draining run-of-5');
		expect(await fixture.left()).to.deep.equal([]);
		fixture.worker.present = undefined;
		await fixture.poll(100);
		expect(await fixture.reported()).to.equal('none');
		expect(await fixture.left()).to.deep.equal(['w1@5']);
	});

	it('of a draining worker that has ended is believed at once', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.heartbeat('w1', 5, WORKER_STATES.draining);
		fixture.worker.present = undefined;
		await fixture.leave('w1');
		expect(await fixture.reported()).to.equal('none');
		expect(await fixture.left()).to.deep.equal(['w1@5']);
	});

	it('of an earlier incarnation that comes late does not keep out the next one', async () => {
		const fixture = new Fixture();
		await fixture.heartbeat('w1', 5);
		await fixture.heartbeat('w1', 5, WORKER_STATES.draining);
		await fixture.leave('w1');
		fixture.worker.present = {id: 'w1', bornMs: 9};
		fixture.worker.isSilent = true;
		await fixture.heartbeat('w1', 9);
		await fixture.leave('w1');
		fixture.worker.isSilent = false;
		await fixture.heartbeat('w1', 9);
		await fixture.poll(3000);
		expect(await fixture.reported()).to.equal('w1@9 ready run-of-9');
		// Leaders leave out reports of incarnations that have left.
		expect(await fixture.left()).to.deep.equal(['w1@5']);
	});
});
