import {expect} from 'chai';
import {
	MAX_DATAGRAM_BYTES, MessageCodec, RESOURCE_NAMES, type TaskKey,
} from '@amaranthsail/core';
import {
	AgentHarness, ASSIGNMENT, ENTRY_ADDRESSES, TASK,
} from './agent-harness.js';
import {DATAGRAM_OVERHEAD_BYTES} from '@amaranthsail/agent/heartbeat-parts.js';

const codec = new MessageCodec('a shared secret');

function keyOf(index: number): TaskKey {
	return {jobId: index.toString(16).padStart(32, '0'), attempt: 1, taskIndex: 0};
}

function prepareTasks(harness: AgentHarness, count: number): void {
	const shape = Object.fromEntries(RESOURCE_NAMES.map(name => [name, 0])) as typeof ASSIGNMENT.shape;
	for (let index = 0; index < count; index++) {
		harness.command('prepare', {task: keyOf(index), assignment: {...ASSIGNMENT, shape, accelerators: []}});
	}
}

describe('AgentCore heartbeats', () => {
	it('sends a heartbeat every interval, with facts in the first and in every tenth', () => {
		const harness = new AgentHarness().boot();
		harness.heartbeats.length = 0;
		harness.advance(20_000);
		expect(harness.heartbeats).to.have.length(20);
		expect(harness.heartbeats.filter(({facts}) => facts !== undefined)).to.have.length(2);
	});

	// Guards against one datagram per change when many changes happen at once.
	it('reports a change immediately and combines changes within 20 ms in one heartbeat', () => {
		const harness = new AgentHarness().boot();
		harness.advance(100);
		harness.heartbeats.length = 0;
		harness.command('prepare');
		expect(harness.heartbeats).to.have.length(1);
		harness.command('stop');
		harness.command('forget');
		harness.command('stop');
		expect(harness.heartbeats).to.have.length(1);
		harness.advance(19);
		expect(harness.heartbeats).to.have.length(1);
		harness.advance(1);
		expect(harness.heartbeats).to.have.length(2);
		expect(harness.heartbeats[1]?.reports[0]?.state).to.equal('stopped');
	});

	it('splits a heartbeat between reports so that each part fits into one datagram', () => {
		const harness = new AgentHarness().boot();
		prepareTasks(harness, 40);
		harness.heartbeats.length = 0;
		harness.advance(1000);
		const sentAtMs = harness.heartbeats[0]?.sentAtMs;
		const parts = harness.heartbeats.filter(heartbeat => heartbeat.sentAtMs === sentAtMs);
		expect(parts.length).to.be.greaterThan(1);
		expect(parts.every(({complete}) => !complete)).to.equal(true);
		expect(parts.flatMap(({reports}) => reports)).to.have.length(40);
		expect(new Set(parts.map(({sequence}) => sequence)).size).to.equal(parts.length);
		for (const part of parts) {
			const datagram = codec.encode(part);
			expect(datagram.length).to.be.at.most(MAX_DATAGRAM_BYTES);
			expect(datagram.length).to.equal(JSON.stringify(part).length + DATAGRAM_OVERHEAD_BYTES);
		}
	});

	it('marks a single heartbeat as complete and adds measured usage', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.setWorkerTask({state: 'running', usage: {measuredAtMs: 400, used: ASSIGNMENT.shape}});
		harness.advance(1500);
		const heartbeat = harness.heartbeats.findLast(({usage}) => usage !== undefined);
		expect(heartbeat?.complete).to.equal(true);
		expect(heartbeat?.usage).to.deep.equal([{...TASK, measuredAtMs: 400, used: ASSIGNMENT.shape}]);
	});

	it('sends facts on request and when the announcement of an endpoint times out', () => {
		const harness = new AgentHarness().boot();
		harness.ack(harness.heartbeats.at(-1)!, {wantFacts: true});
		harness.advance(20);
		expect(harness.heartbeats.at(-1)?.facts?.endpoints[0]?.leaving).to.equal(false);
		harness.isAnnouncing = false;
		harness.advance(3020);
		expect(harness.heartbeats.findLast(({facts}) => facts !== undefined)?.facts?.endpoints[0]?.leaving).to.equal(true);
	});

	it('never lowers the revision in force', () => {
		const harness = new AgentHarness().boot();
		for (const [revision, expected] of [[9, 9], [8, 9], [12, 12]] as const) {
			harness.revision = revision;
			harness.advance(1000);
			expect(harness.core.status(harness.nowMs).revisionInForce).to.equal(expected);
		}
	});

	// Guards against a timer that fires in a loop because an action stays due.
	it('always returns a later time for the next tick', () => {
		const harness = new AgentHarness();
		harness.isWorkerAnswering = false;
		harness.advance(1000);
		harness.isWorkerAnswering = true;
		harness.boot().runTask();
		harness.stopError = {kind: 'unavailable', message: 'down'};
		harness.isStoreUp = false;
		harness.command('stop');
		for (let step = 0; step < 200; step++) {
			harness.advance(37);
			harness.core.tick(harness.nowMs);
			expect(harness.core.nextTickAtMs(harness.nowMs)).to.be.greaterThan(harness.nowMs);
		}
	});
});

describe('AgentCore owner discovery', () => {
	it('queries the entries in turn after two unanswered heartbeats', () => {
		const harness = new AgentHarness().boot();
		harness.effects.length = 0;
		harness.isAcknowledging = false;
		harness.advance(1600);
		expect(harness.effectsOf('discover')).to.have.length(0);
		harness.advance(2500);
		const entries = harness.effectsOf('discover').map(({entry}) => entry);
		expect(entries.slice(0, 2)).to.have.deep.members(ENTRY_ADDRESSES);
		expect(entries[0]).not.to.deep.equal(entries[1]);
	});

	it('queries an entry every two seconds while the owner is degraded and adopts a higher epoch', () => {
		const harness = new AgentHarness().boot();
		harness.isDegraded = true;
		harness.advance(1000);
		harness.effects.length = 0;
		harness.advance(8000);
		expect(harness.effectsOf('discover')).to.have.length(4);
		harness.epoch = 4;
		harness.ownerId = 'owner-4';
		harness.isDegraded = false;
		harness.advance(2500);
		expect(harness.core.status(harness.nowMs)).to.deep.include({epoch: 4, ownerId: 'owner-4', degraded: false});
	});

	it('ignores an answer with a lower epoch', () => {
		const harness = new AgentHarness().boot();
		harness.dispatch({kind: 'ownerAnswered', owner: {ownerId: 'owner-2', epoch: 2, address: ENTRY_ADDRESSES[0]!}});
		expect(harness.core.status(harness.nowMs)).to.deep.include({epoch: 3, ownerId: 'owner-3'});
	});
});
