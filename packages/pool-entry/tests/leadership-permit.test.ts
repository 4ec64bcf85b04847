import {expect} from 'chai';
import {ManualClock, silentLogger} from '@amaranthsail/core';
import {
	DEFAULT_LIMITS, LEADER_KEY, type LeaderRow, TABLES,
} from '@amaranthsail/pool';
import {AGENT_PATHS, type OrderRequest, type WatchAnswer} from '@amaranthsail/pool-agent';
import {ErrorGuard, ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore, servePeer} from './support.js';
import {LEADER_ROW, makeLeader, SETTLE_MS} from './leader-fixture.js';
import {LeadershipPermit} from '@amaranthsail/pool-entry/leadership-permit.js';
import {PoolLeader} from '@amaranthsail/pool-entry/pool-leader.js';

const GRACE_MS = 3000;

describe('LeadershipPermit', () => {
	type Step = {readonly atMs: number; readonly event: 'tick' | 'peer' | 'confirmed'; readonly sentAtMs?: number};
	const ticks = (fromMs: number, untilMs: number): Step[] => Array.from({length: Math.floor((untilMs - fromMs) / 100) + 1}, (_, index) => ({atMs: fromMs + (index * 100), event: 'tick'}));
	const cases: ReadonlyArray<{readonly title: string; readonly steps: readonly Step[]; readonly atMs: number; readonly mayOrder: boolean; readonly mayRenew: boolean}> = [
		{title: 'holds while other entries call', steps: [...ticks(0, 5000), {atMs: 5000, event: 'peer'}], atMs: 5050, mayOrder: true, mayRenew: true},
		{title: 'allows no order once no entry has called for 0.9 s', steps: ticks(0, 1000), atMs: 1050, mayOrder: false, mayRenew: true},
		{title: 'allows no renewal after the grace period', steps: ticks(0, 3000), atMs: 3050, mayOrder: false, mayRenew: false},
		{title: 'is restored by a confirmation', steps: [...ticks(0, 4000), {atMs: 4000, event: 'confirmed', sentAtMs: 3990}], atMs: 4050, mayOrder: true, mayRenew: true},
		{title: 'ends with a pause, whatever calls were waiting', steps: [...ticks(0, 1000), {atMs: 6000, event: 'tick'}, {atMs: 6001, event: 'peer'}], atMs: 6002, mayOrder: false, mayRenew: false},
		{title: 'ends with a pause that no tick has noticed yet', steps: [...ticks(0, 1000), {atMs: 6000, event: 'peer'}], atMs: 6000, mayOrder: false, mayRenew: false},
		{title: 'is not restored by an answer that was asked for before the pause', steps: [...ticks(0, 1000), {atMs: 6000, event: 'tick'}, {atMs: 6001, event: 'confirmed', sentAtMs: 1000}], atMs: 6002, mayOrder: false, mayRenew: false},
		{title: 'is restored by a confirmation after the pause', steps: [...ticks(0, 1000), {atMs: 6000, event: 'tick'}, {atMs: 6010, event: 'confirmed', sentAtMs: 6001}], atMs: 6020, mayOrder: true, mayRenew: true},
	];
	for (const {title, steps, atMs, mayOrder, mayRenew} of cases) {
		it(title, () => {
			const permit = new LeadershipPermit(0, GRACE_MS);
			for (const step of steps) {
				if (step.event === 'tick') {
					permit.recordTick(step.atMs);
				} else if (step.event === 'peer') {
					permit.recordPeerCall(step.atMs);
				} else {
					permit.recordConfirmation(step.sentAtMs!);
				}
			}

			expect(permit.mayOrder(atMs)).to.equal(mayOrder);
			expect(permit.mayRenewLeases(atMs)).to.equal(mayRenew);
		});
	}
});

describe('PoolLeader after a pause of its process', () => {
	const cases = [
		{title: 'sends no order when another entry has taken over meanwhile', isReplaced: true, expectedStops: 0},
		{title: 'sends the order once the store has shown that it still leads', isReplaced: false, expectedStops: 1},
	];
	for (const {title, isReplaced, expectedStops} of cases) {
		it(title, async () => {
			const {
				clock, store, leader, lost,
			} = makeLeader();
			const stops: string[] = [];
			const agent = await serveAgent(request => {
				if (request.order.kind === 'stop') {
					stops.push(request.order.task);
				}
			});
			store.put(TABLES.members, 'agent', {address: agent.address});
			void leader.run();
			await sleep(SETTLE_MS);
			if (isReplaced) {
				store.put(TABLES.leader, LEADER_KEY, {...LEADER_ROW, holder: 'other/1', epoch: 2});
			}

			// The pause, with a call of another entry that was sent before it.
			clock.advance(5000);
			leader.recordPeerCall(1);
			await sleep(2 * SETTLE_MS);
			void leader.resign();
			agent.close();
			expect(stops).to.have.length(expectedStops);
			expect(lost.length > 0).to.equal(isReplaced);
		});
	}
});

describe('PoolLeader after an unexpected error', () => {
	it('gives up leadership', async () => {
		const {
			store, metrics, leader, lost,
		} = makeLeader();
		store.follow = async () => {
			throw new TypeError('planted');
		};

		await leader.run();
		expect(lost).to.deep.equal(['unexpected error']);
		expect(await metrics.text()).to.match(/unexpected_errors_total\{place="leader"\} 1/v);
	});
});

describe('PoolLeader while the store refuses its writes', () => {
	const cases = [
		{title: 'still knows the stored state of jobs while other entries call it', isCalled: true},
		{title: 'answers nothing once no entry calls it either', isCalled: false},
	];
	for (const {title, isCalled} of cases) {
		it(title, async () => {
			const {clock, store, leader} = makeLeader();
			void leader.run();
			await sleep(SETTLE_MS);
			store.fault = 'refuse';
			leader.onAnnounced('agent', '127.0.0.1:9');
			for (let step = 0; step < 10; step++) {
				clock.advance(200);
				if (isCalled) {
					leader.recordPeerCall(1);
				}

				await sleep(110);
			}

			expect(leader.isLeading).to.equal(false);
			expect(leader.canAnswer).to.equal(isCalled);
			store.fault = 'none';
			await leader.resign();
		});
	}
});

/** Serves an agent whose worker lists a run that the leader does not know, so that the leader orders a stop. */
async function serveAgent(onOrder: (request: OrderRequest) => void): Promise<{readonly address: string; readonly close: () => void}> {
	let watches = 0;
	return servePeer({
		async [AGENT_PATHS.watch]() {
			await sleep(20);
			watches++;
			return {
				status: 200, body: {
					incarnation: 'agent/1', version: watches, leftLives: [], report: {
						facts: {
							life: 'w@1', id: 'w', service: 's', failureDomain: 'd', state: 'ready', capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
						},
						lists: {
							clockMs: watches, ageMs: 0, ordersBefore: 0, ended: [], running: watches * 20 > SETTLE_MS
								? [{
									task: 'j.0.0.0', run: 1, checkpoint: '', percent: 1,
								}]
								: [],
						},
					},
				} satisfies WatchAnswer,
			};
		},
		[AGENT_PATHS.order](body) {
			onOrder(body as OrderRequest);
			return {status: 200, body: {outcome: {kind: 'done'}, orderCount: 1}};
		},
	});
}
