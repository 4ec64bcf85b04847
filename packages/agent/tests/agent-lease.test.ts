import {expect} from 'chai';
import {TASK_LEASE_MS} from '@amaranthsail/core';
import {AgentHarness, NEXT_OWNER_ADDRESS, TASK} from './agent-harness.js';

describe('AgentCore leases', () => {
	// Guards against a lease that outlives the owner's fence because an acknowledgement was late.
	it('counts the lease of a start from the sending of the acknowledged heartbeat', () => {
		const harness = new AgentHarness().boot();
		harness.isAcking = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.advance(700);
		harness.ack(heartbeat);
		harness.command('prepare');
		harness.command('release');
		expect(harness.of('start')[0]?.leaseUntilMs).to.equal(heartbeat.sentAtMs + TASK_LEASE_MS);
	});

	it('counts a renewal from the sending of the acknowledged heartbeat', () => {
		const harness = new AgentHarness().boot().run();
		harness.isAcking = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.advance(900);
		harness.ack(heartbeat);
		expect(harness.of('renew').at(-1)?.leases).to.deep.equal([{key: TASK, leaseUntilMs: heartbeat.sentAtMs + TASK_LEASE_MS}]);
	});

	it('ignores late, repeated and foreign acknowledgements', () => {
		const harness = new AgentHarness().boot().run();
		harness.isAcking = false;
		harness.advance(3000);
		const [older, newer] = harness.heartbeats.slice(-2);
		const renewals = harness.of('renew').length;
		// An acknowledgement for an earlier incarnation can carry the same sequence number.
		harness.ack(newer!, {sentAtMs: newer!.sentAtMs + 500});
		harness.ack(newer!, {sequence: newer!.sequence + 100});
		harness.ack(newer!, {epoch: 2, ownerId: 'owner-2'});
		expect(harness.of('renew')).to.have.length(renewals);
		harness.ack(newer!);
		harness.ack(newer!);
		harness.ack(older!);
		expect(harness.of('renew')).to.have.length(renewals + 1);
	});

	it('stops a task on wake before an acknowledgement that was queued can renew it', () => {
		const harness = new AgentHarness().boot().run();
		harness.isAcking = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.pause(heartbeat.sentAtMs + TASK_LEASE_MS - 100 - harness.nowMs);
		const effects = harness.ack(heartbeat);
		expect(effects[0]).to.deep.equal({kind: 'stop', key: TASK});
		expect(effects.some(effect => effect.kind === 'renew')).to.equal(false);
		expect(harness.report()?.reason).to.equal('lease_lapsed');
	});

	it('starts a task that was released before any lease once an acknowledgement has come', () => {
		const harness = new AgentHarness();
		harness.isAcking = false;
		harness.boot();
		harness.command('prepare');
		harness.command('release');
		expect(harness.of('start')).to.have.length(0);
		harness.ack(harness.heartbeats.at(-1)!);
		harness.command('release');
		expect(harness.of('start')).to.have.length(1);
	});

	it('adopts the address of a higher epoch and fences the old owner', () => {
		const harness = new AgentHarness().boot().run();
		harness.isAcking = false;
		harness.command('throttle', {epoch: 4, ownerId: 'owner-4'}, NEXT_OWNER_ADDRESS);
		harness.advance(1000);
		expect(harness.of('send').at(-1)).to.deep.include({to: NEXT_OWNER_ADDRESS});
		expect(harness.heartbeats.at(-1)?.epoch).to.equal(4);
		const renewals = harness.of('renew').length;
		harness.ack(harness.heartbeats.at(-1)!);
		harness.command('stop');
		expect(harness.of('renew')).to.have.length(renewals);
		expect(harness.report()?.state).to.equal('running');
	});

	it('renews a task whose start was confirmed after the renewal', () => {
		const harness = new AgentHarness().boot();
		harness.startError = {kind: 'outcome_unknown', message: 'lost'};
		harness.command('prepare');
		harness.command('release');
		harness.advance(1300);
		const [start] = harness.of('start');
		expect(harness.of('renew').at(-1)?.leases[0]?.leaseUntilMs).to.be.greaterThan(start!.leaseUntilMs);
	});
});
