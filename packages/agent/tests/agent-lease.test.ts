import {expect} from 'chai';
import {TASK_LEASE_MS} from '@amaranthsail/core';
import {AgentHarness, NEXT_OWNER_ADDRESS, TASK} from './agent-harness.js';

describe('AgentCore leases', () => {
	// Guards against a lease that ends after the owner's fence because an acknowledgement was delayed.
	it('starts the lease of a start call when the acknowledged heartbeat was sent', () => {
		const harness = new AgentHarness().boot();
		harness.isAcknowledging = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.advance(700);
		harness.ack(heartbeat);
		harness.command('prepare');
		harness.command('release');
		expect(harness.effectsOf('start')[0]?.leaseUntilMs).to.equal(heartbeat.sentAtMs + TASK_LEASE_MS);
	});

	it('starts a renewed lease when the acknowledged heartbeat was sent', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isAcknowledging = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.advance(900);
		harness.ack(heartbeat);
		expect(harness.effectsOf('renew').at(-1)?.leases).to.deep.equal([{key: TASK, leaseUntilMs: heartbeat.sentAtMs + TASK_LEASE_MS}]);
	});

	it('ignores late and repeated acknowledgements and those for another incarnation or epoch', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isAcknowledging = false;
		harness.advance(3000);
		const [older, newer] = harness.heartbeats.slice(-2);
		const renewals = harness.effectsOf('renew').length;
		// An acknowledgement for an earlier incarnation can carry the same sequence number.
		harness.ack(newer!, {sentAtMs: newer!.sentAtMs + 500});
		harness.ack(newer!, {sequence: newer!.sequence + 100});
		harness.ack(newer!, {epoch: 2, ownerId: 'owner-2'});
		expect(harness.effectsOf('renew')).to.have.length(renewals);
		harness.ack(newer!);
		harness.ack(newer!);
		harness.ack(older!);
		expect(harness.effectsOf('renew')).to.have.length(renewals + 1);
	});

	it('stops an expired task after a pause before a queued acknowledgement can renew it', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isAcknowledging = false;
		harness.advance(1000);
		const heartbeat = harness.heartbeats.at(-1)!;
		harness.pause(heartbeat.sentAtMs + TASK_LEASE_MS - 100 - harness.nowMs);
		const effects = harness.ack(heartbeat);
		expect(effects[0]).to.deep.equal({kind: 'stop', key: TASK});
		expect(effects.some(effect => effect.kind === 'renew')).to.equal(false);
		expect(harness.report()?.reason).to.equal('lease_lapsed');
	});

	it('starts a task released before the first lease once an acknowledgement has arrived', () => {
		const harness = new AgentHarness();
		harness.isAcknowledging = false;
		harness.boot();
		harness.command('prepare');
		harness.command('release');
		expect(harness.effectsOf('start')).to.have.length(0);
		harness.ack(harness.heartbeats.at(-1)!);
		harness.command('release');
		expect(harness.effectsOf('start')).to.have.length(1);
	});

	it('adopts the owner address of a higher epoch and fences the previous owner', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isAcknowledging = false;
		harness.command('throttle', {epoch: 4, ownerId: 'owner-4'}, NEXT_OWNER_ADDRESS);
		harness.advance(1000);
		expect(harness.effectsOf('send').at(-1)).to.deep.include({to: NEXT_OWNER_ADDRESS});
		expect(harness.heartbeats.at(-1)?.epoch).to.equal(4);
		const renewals = harness.effectsOf('renew').length;
		harness.ack(harness.heartbeats.at(-1)!);
		harness.command('stop');
		expect(harness.effectsOf('renew')).to.have.length(renewals);
		expect(harness.report()?.state).to.equal('running');
	});

	it('passes a renewal to the worker once the start is confirmed', () => {
		const harness = new AgentHarness().boot();
		harness.startError = {kind: 'outcome_unknown', message: 'lost'};
		harness.command('prepare');
		harness.command('release');
		harness.advance(1300);
		const [start] = harness.effectsOf('start');
		expect(harness.effectsOf('renew').at(-1)?.leases[0]?.leaseUntilMs).to.be.greaterThan(start!.leaseUntilMs);
	});
});
