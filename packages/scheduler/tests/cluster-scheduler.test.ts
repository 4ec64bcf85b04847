import {expect} from 'chai';
import type {JobSpec} from '@amaranthsail/core';
import {
	CAPACITY, cluster, config, facts, guarantee, job,
} from './support.js';
import type {Scheduler, Decision, SchedulerJob} from '@amaranthsail/scheduler';

function submitAll(scheduler: Scheduler, jobs: readonly SchedulerJob[]): void {
	for (const item of jobs) {
		expect(scheduler.submit(item, 0)).to.deep.equal({admitted: true});
	}
}

function placedIds(decisions: readonly Decision[]): readonly string[] {
	return decisions.filter(decision => decision.kind === 'place').map(decision => decision.jobId);
}

function fail(scheduler: Scheduler, jobId: string, nowMs: number): string {
	const decision = scheduler.decide(nowMs).find(candidate => candidate.kind === 'place' && candidate.jobId === jobId);
	const workerId = decision?.kind === 'place' ? decision.tasks[0]!.workerId : 'none';
	scheduler.ended(jobId, 'failed', [workerId], nowMs);
	scheduler.requeue(jobId, nowMs);
	return workerId;
}

describe('admission', () => {
	// Each case guards against a job that waits although it can never run.
	const cases: ReadonlyArray<{name: string; change: Partial<JobSpec>; accelerators?: number; deadlineAtMs?: number; code: string | undefined}> = [
		{name: 'a gang that fits one rack', change: {taskCount: 3, adjacency: 'rack'}, accelerators: 8, code: undefined},
		{name: 'a gang larger than a rack', change: {taskCount: 4, adjacency: 'rack'}, accelerators: 8, code: 'never_fits'},
		{name: 'a task larger than a worker', change: {}, accelerators: 9, code: 'never_fits'},
		{name: 'a service that no worker runs', change: {service: 'other'}, code: 'unknown_service'},
		{name: 'non-repeatable work that only fits into a guarantee of another account', change: {repeatable: false, taskCount: 6, adjacency: 'failureDomain'}, accelerators: 8, code: 'never_fits'},
		{name: 'the same work if it is repeatable', change: {taskCount: 6, adjacency: 'failureDomain'}, accelerators: 8, code: undefined},
		{name: 'more accelerators than the account may use', change: {account: 'small'}, accelerators: 4, code: 'account_limit'},
		{name: 'a deadline in the past', change: {}, deadlineAtMs: -1, code: 'deadline_impossible'},
	];
	for (const {name, change, accelerators, deadlineAtMs, code} of cases) {
		it(`${code === undefined ? 'admits' : `refuses as ${code}`}: ${name}`, () => {
			const scheduler = cluster([3, 3], config({}, {guarantees: [guarantee()], accounts: [{account: 'small', weight: 1, maxAccelerators: 2}]}));
			const answer = scheduler.submit({...job('a', change, accelerators), deadlineAtMs}, 0);
			expect(answer.admitted ? undefined : answer.refusal.code).to.equal(code);
		});
	}

	// Guards against one account filling the queue, and against admitting a deadline that no run has met.
	it('refuses jobs beyond the waiting limit, and deadlines shorter than any run', () => {
		const scheduler = cluster([1], config({maxWaitingPerAccount: 2}));
		for (let index = 0; index < 8; index++) {
			submitAll(scheduler, [job(`run${index}`)]);
			scheduler.decide(index * 1000);
			scheduler.ended(`run${index}`, 'completed', [], (index * 1000) + 900);
		}

		expect(scheduler.submit({...job('late'), deadlineAtMs: 9000}, 8500)).to.have.nested.property('refusal.code', 'deadline_impossible');
		submitAll(scheduler, [job('a'), job('b')]);
		expect(scheduler.submit(job('c'), 0)).to.have.nested.property('refusal.code', 'account_limit');
	});

	// Guards against admitting jobs that cannot end in time, and against refusing jobs that a guarantee places at once.
	for (const [account, code] of [['red', 'overloaded'], ['blue', undefined]] as const) {
		it(`${code === undefined ? 'admits' : `refuses as ${code}`} a job of ${account} whose deadline is too short for the queue ahead`, () => {
			const scheduler = cluster([1], config({}, {guarantees: [guarantee()]}));
			for (const jobId of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
				submitAll(scheduler, [job(jobId, {}, 8)]);
				scheduler.decide(0);
				scheduler.ended(jobId, 'completed', [], 10_000);
			}

			submitAll(scheduler, ['p', 'q', 'r', 's'].map(jobId => job(jobId, {}, 8)));
			const answer = scheduler.submit({...job('urgent', {account}, 8), deadlineAtMs: 45_000}, 10_000);
			expect(answer.admitted ? undefined : answer.refusal.code).to.equal(code);
		});
	}

	// Guards against refusing a job for good because workers of a declared rack have not reported yet.
	it('counts declared workers that have not reported yet', () => {
		const scheduler = cluster([1], config({}, {racks: [{rack: 'r0', workers: [CAPACITY, CAPACITY]}]}));
		submitAll(scheduler, [job('a', {taskCount: 2, adjacency: 'rack'}, 8)]);
		expect(scheduler.submit(job('b', {taskCount: 3, adjacency: 'rack'}, 8), 0)).to.have.nested.property('refusal.code', 'never_fits');
	});

	// Guards against refusing all jobs after a change of owner, before the agents have reported.
	it('admits jobs while no worker is known', () => {
		submitAll(cluster([]), [job('a', {}, 8)]);
	});
});

describe('placement', () => {
	// Guards against a placement that exceeds one resource because the others suffice.
	for (const [limit, amount] of [['slots', 5], ['connections', 33], ['processors', 16], ['memoryMb', 33_000], ['accelerators', 5]] as const) {
		it(`is refused for lack of ${limit} alone`, () => {
			const scheduler = cluster([1]);
			const shape = {slots: 1, connections: 1, processors: 1, memoryMb: 1000, accelerators: 1, [limit]: amount};
			submitAll(scheduler, [job('a', {shape}), job('b', {shape})]);
			expect(placedIds(scheduler.decide(0))).to.deep.equal(['a']);
			expect(scheduler.explain('b', 0).refusals).to.deep.equal([{workerId: 'w0', because: limit}]);
		});
	}

	// Guards against gangs that run partially or outside their adjacency.
	it('places a gang within its adjacency or not at all', () => {
		const scheduler = cluster([2, 2]);
		submitAll(scheduler, [job('a', {}, 8)]);
		scheduler.decide(0);
		submitAll(scheduler, [job('gang', {taskCount: 4, adjacency: 'rack'}, 4)]);
		const [decision] = scheduler.decide(1);
		expect(decision?.kind === 'place' ? decision.tasks.map(task => [task.workerId, task.accelerators[0]]) : []).to.deep.equal([
			['w2', 0], ['w2', 4], ['w3', 0], ['w3', 4],
		]);
	});

	// Guards against placing jobs on leaving endpoints or suspected workers, and against an explanation with the wrong cause.
	it('avoids leaving endpoints and suspected workers, and explains it', () => {
		const scheduler = cluster([3]);
		scheduler.upsertWorker(facts('w0', 'r0', {endpoints: [{endpointId: 'w0/a', service: 'repairs', leaving: true}]}), 0);
		scheduler.setWorkerUsable('w1', false, 0);
		scheduler.upsertWorker(facts('w2', 'r0', {endpoints: [{endpointId: 'w2/a', service: 'other', leaving: false}]}), 0);
		submitAll(scheduler, [job('a')]);
		expect(scheduler.decide(0)).to.deep.equal([]);
		expect(scheduler.explain('a', 0).refusals.map(refusal => refusal.because)).to.deep.equal(['leaving', 'suspect', 'service']);
	});

	// Guards against a usage report from before an allocation that frees part of it.
	it('applies only usage that was measured after the allocation', () => {
		const shape = {...CAPACITY, slots: 1, accelerators: 1};
		const used = {...shape, connections: 1, processors: 1, memoryMb: 1000};
		const scheduler = cluster([1]);
		submitAll(scheduler, [job('a', {shape})]);
		scheduler.decide(1000);
		submitAll(scheduler, [job('b', {shape: {...shape, connections: 1, processors: 10, memoryMb: 1000}})]);
		const report = {jobId: 'a', attempt: 1, taskIndex: 0, used};
		scheduler.reportUsage({...report, measuredAtMs: 900}, 900);
		expect(placedIds(scheduler.decide(1100))).to.deep.equal([]);
		scheduler.reportUsage({...report, measuredAtMs: 1200}, 1200);
		expect(placedIds(scheduler.decide(1300))).to.deep.equal(['b']);
	});

	// Guards against a new owner placing jobs on accelerators that are already in use, also if a worker reports late.
	it('restores running attempts before their worker is known', () => {
		const scheduler = cluster([]);
		scheduler.restore(job('old'), [{taskIndex: 0, workerId: 'w0', endpointId: 'w0/a', accelerators: [0]}], 0, 500);
		scheduler.upsertWorker(facts('w0', 'r0'), 0);
		submitAll(scheduler, [job('new', {}, 8)]);
		expect(scheduler.decide(600)).to.deep.equal([]);
		scheduler.ended('old', 'completed', [], 700);
		expect(placedIds(scheduler.decide(700))).to.deep.equal(['new']);
	});
});

describe('guarantees', () => {
	const withGuarantee = config({}, {guarantees: [guarantee()]});

	// Guards against non-preemptible work that blocks a guarantee, by accelerators or by another resource.
	for (const [name, change, accelerators] of [
		['accelerators', {}, 8],
		['slots', {shape: {slots: 5, connections: 1, processors: 1, memoryMb: 1, accelerators: 0}}, 0],
	] as const) {
		it(`keeps non-preemptible work of other accounts off capacity that a guarantee needs: ${name}`, () => {
			const scheduler = cluster([2], withGuarantee);
			const fixed = {...change, repeatable: false};
			submitAll(scheduler, [job('a', fixed, accelerators), job('b', fixed, accelerators), job('own', {account: 'blue', repeatable: false}, 8)]);
			expect(placedIds(scheduler.decide(0))).to.have.members(['a', 'own']);
			expect(scheduler.explain('b', 0).state).to.equal('waiting');
		});
	}

	// Guards against a guarantee that does not survive the loss of a rack although its record requires it.
	it('keeps capacity for a guarantee in a second rack', () => {
		const scheduler = cluster([1, 1, 1], config({}, {guarantees: [guarantee({survivesRackLoss: true})]}));
		submitAll(scheduler, ['a', 'b'].map(jobId => job(jobId, {repeatable: false}, 8)));
		expect(placedIds(scheduler.decide(0))).to.have.lengthOf(1);
		expect(scheduler.explain('b', 0).refusals.map(refusal => refusal.because)).to.include('guarantee');
	});

	// Guards against a reclaim for a job outside its guarantee, and against a start before the victim has stopped.
	it('reclaims only for a job within its guarantee', () => {
		const scheduler = cluster([2], withGuarantee);
		submitAll(scheduler, [job('a', {}, 8), job('b', {}, 8)]);
		scheduler.decide(0);
		submitAll(scheduler, [job('own', {account: 'blue'}, 8), job('more', {account: 'blue'}, 8)]);
		const decisions = scheduler.decide(10);
		expect(decisions).to.have.lengthOf(1);
		expect(decisions[0]).to.include({kind: 'preempt', graceMs: 5000, reclaim: true});
		const {jobId: victim, forJobId} = decisions[0] as Extract<Decision, {kind: 'preempt'}>;
		expect(scheduler.decide(20)).to.deep.equal([]);
		scheduler.ended(victim, 'stopped', [], 6000);
		scheduler.requeue(victim, 6000);
		expect(placedIds(scheduler.decide(6000))).to.deep.equal([forJobId]);
		expect(scheduler.decide(6010)).to.deep.equal([]);
	});

	// Guards against capacity that stays reserved for a reclaim whose job was cancelled.
	it('drops a planned reclaim when its job is withdrawn', () => {
		const scheduler = cluster([1], withGuarantee);
		submitAll(scheduler, [job('a', {}, 8)]);
		scheduler.decide(0);
		submitAll(scheduler, [job('own', {account: 'blue'}, 8)]);
		scheduler.decide(10);
		scheduler.withdraw('own');
		scheduler.ended('a', 'stopped', [], 5000);
		scheduler.requeue('a', 5000);
		expect(placedIds(scheduler.decide(5000))).to.deep.equal(['a']);
	});

	// Guards against a reclaim that waits for a move, which would add the stop time of the moved job to the reclaim bound.
	it('takes over a placement that a move holds for another job', () => {
		const scheduler = cluster([2], config({}, {guarantees: [guarantee({count: 2})]}));
		submitAll(scheduler, [job('a', {}, 4), job('b', {}, 4), job('c', {}, 4)]);
		scheduler.decide(0);
		for (const jobId of ['a', 'b', 'c']) {
			scheduler.started(jobId, 0);
		}

		scheduler.ended('a', 'completed', [], 100);
		submitAll(scheduler, [job('wide', {}, 8)]);
		expect(scheduler.decide(60_000)).to.have.nested.property('[0].reclaim', false);
		submitAll(scheduler, [job('own', {account: 'blue', taskCount: 2, adjacency: 'failureDomain'}, 8)]);
		expect(scheduler.decide(60_010).map(decision => decision.kind)).to.deep.equal(['preempt']);
		for (const jobId of ['b', 'c']) {
			scheduler.ended(jobId, 'stopped', [], 66_000);
			scheduler.requeue(jobId, 66_000);
		}

		expect(placedIds(scheduler.decide(66_000))).to.deep.equal(['own']);
	});

	// Guards against the loss of a rack that raises no alarm.
	it('raises an alarm when a lost worker breaks a guarantee', () => {
		const scheduler = cluster([1, 1], config({}, {guarantees: [guarantee({count: 2})]}));
		expect(scheduler.alarms()).to.deep.equal([]);
		scheduler.removeWorker('w1', 0);
		expect(scheduler.alarms().map(alarm => alarm.guarantee)).to.deep.equal(['blue-8']);
	});
});

describe('failures', () => {
	// Guards against a faulty worker that fails one job after another.
	it('quarantines a worker after failures of three jobs and probes it later', () => {
		const scheduler = cluster([1]);
		for (const jobId of ['a', 'b', 'c']) {
			submitAll(scheduler, [job(jobId)]);
			expect(fail(scheduler, jobId, 0)).to.equal('w0');
			scheduler.withdraw(jobId);
		}

		submitAll(scheduler, [job('d'), job('e')]);
		expect(placedIds(scheduler.decide(29_000))).to.deep.equal([]);
		expect(placedIds(scheduler.decide(30_000))).to.have.lengthOf(1);
	});

	// Guards against retrying a job that fails on every worker, and against quarantining its workers.
	it('refuses a job after failures on three distinct workers and keeps the workers in use', () => {
		const scheduler = cluster([4]);
		for (const jobId of ['x', 'y', 'z']) {
			submitAll(scheduler, [job(jobId)]);
			const tried = [fail(scheduler, jobId, 0), fail(scheduler, jobId, 1), fail(scheduler, jobId, 2)];
			expect(new Set(tried).size).to.equal(3);
			expect(scheduler.decide(3)).to.have.nested.property('[0].refusal.code', 'never_runs');
		}

		submitAll(scheduler, [job('good', {taskCount: 4, adjacency: 'rack'}, 8)]);
		expect(placedIds(scheduler.decide(4))).to.deep.equal(['good']);
	});
});

describe('stragglers', () => {
	// Guards against duplicating work that must run only once.
	for (const repeatable of [true, false]) {
		it(`${repeatable ? 'duplicates repeatable work' : 'does not duplicate non-repeatable work'} that runs far longer than learned`, () => {
			const scheduler = cluster([2]);
			for (const jobId of ['a', 'b', 'c']) {
				submitAll(scheduler, [job(jobId)]);
				scheduler.decide(0);
				scheduler.ended(jobId, 'completed', [], 1000);
			}

			submitAll(scheduler, [job('slow', {repeatable})]);
			scheduler.decide(2000);
			scheduler.started('slow', 2000);
			expect(scheduler.decide(4000)).to.deep.equal([]);
			expect(scheduler.decide(6000).map(decision => decision.kind)).to.deep.equal(repeatable ? ['duplicate'] : []);
		});
	}
});
