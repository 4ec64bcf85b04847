import {expect} from 'chai';
import {CHECKPOINT_GRACE_MS, sha256Of, type TaskKey} from '@amaranthsail/core';
import {AgentHarness, TASK} from './agent-harness.js';
import {ENDED_KEY_RETENTION_MS} from '@amaranthsail/agent/ended-keys.js';

const OLD_TASK: TaskKey = {jobId: 'job-old', attempt: 1, taskIndex: 0};

describe('AgentCore answers', () => {
	// Guards against an owner that records an answer before callers can read it.
	it('keeps the answer while the store is down and reports it only once it is stored', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isStoreUp = false;
		harness.finishTask();
		harness.advance(120_000);
		expect(harness.report()?.state).to.equal('running');
		expect(harness.effectsOf('stop')).to.have.length(0);
		const tries = harness.effectsOf('putAnswer').length;
		expect(tries).to.be.within(10, 30);
		harness.isStoreUp = true;
		harness.advance(10_000);
		expect(harness.report()).to.deep.include({state: 'finished', everStarted: true, answer: {lengthBytes: 6, sha256: sha256Of('answer')}});
		expect(harness.effectsOf('putAnswer').at(-1)?.objectKey).to.equal('answers/job-a/1/0');
		expect(harness.effectsOf('putAnswer')).to.have.length(tries + 1);
	});

	it('keeps an unstored answer when the lease expires or a stop arrives', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.isStoreUp = false;
		harness.finishTask();
		harness.advance(500);
		harness.command('stop');
		harness.command('forget');
		harness.isAcknowledging = false;
		harness.advance(30_000);
		harness.isStoreUp = true;
		harness.advance(10_000);
		expect(harness.report()?.state).to.equal('finished');
	});

	it('removes an ended task with an unconfirmed start from the worker only after the lease time', () => {
		const harness = new AgentHarness().boot();
		harness.startError = {kind: 'outcome_unknown', message: 'lost'};
		harness.command('prepare');
		harness.command('release');
		harness.finishTask();
		harness.advance(9000);
		expect(harness.report()?.state).to.equal('finished');
		expect(harness.effectsOf('forget')).to.have.length(0);
		harness.advance(10_000);
		expect(harness.worker.size).to.equal(0);
	});
});

describe('AgentCore checkpoints', () => {
	it('stops the task once the checkpoint is written', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.command('checkpoint', {graceMs: 4000});
		harness.command('checkpoint', {graceMs: 4000});
		expect(harness.effectsOf('checkpoint')).to.have.length(1);
		harness.advance(400);
		expect(harness.report()?.state).to.equal('checkpointing');
		harness.setWorkerTask({state: 'running', checkpointKey: 'checkpoints/job-a'});
		harness.advance(300);
		expect(harness.report()).to.deep.include({state: 'stopped', reason: 'checkpoint_written', hasCheckpoint: true});
	});

	it('stops the task when its grace ends, even when the command is repeated', () => {
		const harness = new AgentHarness().boot().runTask();
		for (let repeat = 0; repeat < 8; repeat++) {
			harness.command('checkpoint', {graceMs: 2000});
			harness.advance(250);
		}

		expect(harness.report()).to.deep.include({state: 'stopped', reason: 'checkpoint_grace_over'});
	});

	it('retries a checkpoint call that could not be sent', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.command('checkpoint');
		harness.dispatch({kind: 'checkpointAnswered', key: TASK, result: {ok: false, error: {kind: 'unavailable', message: 'down'}}});
		harness.advance(600);
		expect(harness.effectsOf('checkpoint')).to.have.length(2);
	});
});

describe('AgentCore start of an incarnation', () => {
	// Guards against tasks of an earlier incarnation that run without a lease or are reported as never started.
	it('stops tasks of an earlier incarnation before its first heartbeat', () => {
		const harness = new AgentHarness();
		harness.setWorkerTask({state: 'running'}, OLD_TASK);
		harness.stopError = {kind: 'unavailable', message: 'down'};
		harness.advance(2000);
		expect(harness.heartbeats).to.have.length(0);
		expect(harness.core.status(harness.nowMs).ready).to.equal(false);
		harness.stopError = undefined;
		harness.advance(1000);
		expect(harness.effectsOf('stop').at(-1)?.key).to.deep.equal(OLD_TASK);
		expect(harness.core.status(harness.nowMs)).to.deep.include({ready: true, tasks: []});
		harness.command('release', {task: OLD_TASK});
		harness.command('prepare', {task: OLD_TASK});
		expect(harness.report(OLD_TASK)).to.deep.include({state: 'stopped', everStarted: true});
	});

	it('waits for a worker that does not answer', () => {
		const harness = new AgentHarness();
		harness.isWorkerAnswering = false;
		harness.advance(5000);
		expect(harness.heartbeats).to.have.length(0);
		harness.isWorkerAnswering = true;
		harness.advance(1000);
		expect(harness.heartbeats.length).to.be.greaterThan(0);
	});

	it('refuses the key of a forgotten task as long as a delayed command may arrive', () => {
		const harness = new AgentHarness().boot();
		harness.command('stop');
		harness.command('forget');
		harness.advance(ENDED_KEY_RETENTION_MS - 1000);
		harness.command('prepare');
		expect(harness.report()?.state).to.equal('refused');
	});
});

describe('AgentCore shutdown', () => {
	const shutDown = (harness: AgentHarness): void => {
		harness.dispatch({kind: 'shutdownRequested'});
	};

	it('exits 0 immediately without tasks, after reporting that it is leaving', () => {
		const harness = new AgentHarness().boot();
		harness.advance(100);
		shutDown(harness);
		expect(harness.heartbeats.at(-1)?.leaving).to.equal(true);
		expect(harness.exitCode).to.equal(0);
		expect(harness.effects.at(-1)?.kind).to.equal('exit');
	});

	// Guards against an exit that interrupts a request or loses its report.
	it('waits for running tasks and for forget, then exits 0', () => {
		const harness = new AgentHarness().boot().runTask();
		shutDown(harness);
		harness.advance(60_000);
		expect(harness.exitCode).to.equal(undefined);
		harness.finishTask();
		harness.advance(60_000);
		expect(harness.report()?.state).to.equal('finished');
		expect(harness.exitCode).to.equal(undefined);
		harness.command('forget');
		harness.advance(20);
		expect(harness.exitCode).to.equal(0);
	});

	it('checkpoints and stops its tasks on the second signal and exits 1', () => {
		const harness = new AgentHarness().boot().runTask();
		shutDown(harness);
		shutDown(harness);
		expect(harness.effectsOf('checkpoint')).to.have.length(1);
		harness.advance(500);
		expect(harness.exitCode).to.equal(undefined);
		harness.setWorkerTask({state: 'running', checkpointKey: 'checkpoints/job-a'});
		harness.advance(500);
		expect(harness.exitCode).to.equal(1);
		expect(harness.heartbeats.at(-1)?.reports[0]).to.deep.include({state: 'stopped', hasCheckpoint: true});
	});

	it('exits 1 within the forced exit timeout when the worker stops no task', () => {
		const harness = new AgentHarness().boot().runTask();
		harness.stopError = {kind: 'outcome_unknown', message: 'ignored'};
		shutDown(harness);
		shutDown(harness);
		harness.advance(CHECKPOINT_GRACE_MS);
		expect(harness.exitCode).to.equal(undefined);
		harness.advance(2000);
		expect(harness.exitCode).to.equal(1);
	});
});
