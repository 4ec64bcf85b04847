import {assert} from 'chai';
import fc from 'fast-check';
import {
	CAPACITY, cluster, config, guarantee, job,
} from './support.js';
import {checkGuarantees, type Guarantee, type PlacedTask, type Scheduler, type SchedulerJob} from '@amaranthsail/scheduler';

const RACKS = [2, 2, 1];
const RECLAIM_BOUND_MS = 6000;

/** An independent model of what runs where, built without code of the scheduler. */
class Oracle {
	readonly running = new Map<string, {readonly job: SchedulerJob; readonly tasks: readonly PlacedTask[]}>();
	readonly stopping = new Map<string, number>();
	readonly reclaims = new Map<string, number>();

	/** The time at which the next stop takes effect, but no earlier than a given time. */
	nextStopMs(earliestMs: number): number {
		return Math.max(earliestMs, Math.min(...this.stopping.values()));
	}

	check(guarantees: readonly Guarantee[]): void {
		const holders = new Map<string, string>();
		const slots = new Map<string, number>();
		for (const [jobId, {job: {spec}, tasks}] of this.running) {
			assert.strictEqual(tasks.length, spec.taskCount, `${jobId} runs in part`);
			const racks = new Set(tasks.map(task => rackOf(task.workerId)));
			const workers = new Set(tasks.map(task => task.workerId));
			assert.isTrue(spec.adjacency !== 'worker' || workers.size === 1, `${jobId} is spread over workers`);
			assert.isTrue(spec.adjacency !== 'rack' || racks.size === 1, `${jobId} is spread over racks`);
			for (const task of tasks) {
				const [start] = task.accelerators;
				assert.isTrue(start === undefined || start % task.accelerators.length === 0, `${jobId} is not aligned`);
				slots.set(task.workerId, (slots.get(task.workerId) ?? 0) + spec.shape.slots);
				for (const number of task.accelerators) {
					const key = `${task.workerId}/${number}`;
					assert.isUndefined(holders.get(key), `${key} is held by ${jobId} and ${holders.get(key)}`);
					holders.set(key, jobId);
				}
			}
		}

		for (const [workerId, used] of slots) {
			assert.isAtMost(used, CAPACITY.slots, workerId);
		}

		this.#checkReclaimable(guarantees, holders);
	}

	/** Each shape is a whole worker, so it needs one without non-preemptible work of other accounts. */
	#checkReclaimable(guarantees: readonly Guarantee[], holders: ReadonlyMap<string, string>): void {
		const fixedBy = new Map<string, Set<string>>();
		for (const [key, jobId] of holders) {
			const {spec} = this.running.get(jobId)!.job;
			if (!spec.repeatable) {
				const workerId = key.split('/')[0]!;
				fixedBy.set(workerId, (fixedBy.get(workerId) ?? new Set()).add(spec.account));
			}
		}

		for (const lostRack of [undefined, 0, 1, 2]) {
			const needed = guarantees.filter(item => lostRack === undefined || item.survivesRackLoss);
			const workers = [0, 1, 2, 3, 4].map(index => `w${index}`).filter(workerId => rackOf(workerId) !== lostRack);
			assert.isTrue(canAssign(needed.flatMap(item => Array.from({length: item.count}, () => item.account)), workers, fixedBy), `guarantees without rack ${lostRack}`);
		}
	}
}

function rackOf(workerId: string): number {
	return Math.floor(Number(workerId.slice(1)) / 2);
}

/** Tries every assignment of accounts to whole workers. */
function canAssign(accounts: readonly string[], workers: readonly string[], fixedBy: ReadonlyMap<string, ReadonlySet<string>>): boolean {
	const [account, ...rest] = accounts;
	return account === undefined || workers.some(workerId =>
		[...fixedBy.get(workerId) ?? []].every(holder => holder === account)
		&& canAssign(rest, workers.filter(other => other !== workerId), fixedBy));
}

function step(scheduler: Scheduler, oracle: Oracle, jobs: ReadonlyMap<string, SchedulerJob>, nowMs: number): void {
	for (const [jobId, stopAtMs] of oracle.stopping) {
		if (stopAtMs <= nowMs) {
			oracle.stopping.delete(jobId);
			if (oracle.running.delete(jobId)) {
				scheduler.ended(jobId, 'stopped', [], nowMs);
				scheduler.requeue(jobId, nowMs);
			}
		}
	}

	for (const decision of scheduler.decide(nowMs)) {
		if (decision.kind === 'place') {
			assert.isFalse(oracle.running.has(decision.jobId), `${decision.jobId} is placed twice`);
			oracle.running.set(decision.jobId, {job: jobs.get(decision.jobId)!, tasks: decision.tasks});
			assert.isAtMost(nowMs - (oracle.reclaims.get(decision.jobId) ?? nowMs), RECLAIM_BOUND_MS, 'reclaim bound');
			oracle.reclaims.delete(decision.jobId);
			scheduler.started(decision.jobId, nowMs);
		} else if (decision.kind === 'preempt') {
			const victim = oracle.running.get(decision.jobId);
			assert.isTrue(victim?.job.spec.repeatable, `${decision.jobId} may not be stopped`);
			oracle.stopping.set(decision.jobId, nowMs + decision.graceMs + 1000);
			if (decision.reclaim && !oracle.reclaims.has(decision.forJobId)) {
				oracle.reclaims.set(decision.forJobId, nowMs);
			}
		}
	}
}

const jobArbitrary = fc.record({
	account: fc.constantFrom('blue', 'green', 'red'),
	taskCount: fc.constantFrom(1, 1, 2, 3),
	accelerators: fc.constantFrom(0, 1, 2, 4, 8),
	adjacency: fc.constantFrom('worker', 'rack', 'failureDomain'),
	repeatable: fc.boolean(),
	checkpointable: fc.boolean(),
});

const actionArbitrary = fc.oneof(
	{weight: 5, arbitrary: fc.record({kind: fc.constant('submit' as const), spec: jobArbitrary})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('end' as const), pick: fc.nat(), end: fc.constantFrom('completed', 'completed', 'failed', 'lost')})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('withdraw' as const), pick: fc.nat()})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.nat(40_000)})},
);

describe('ClusterScheduler under random events', () => {
	const guarantees = [guarantee({survivesRackLoss: true}), guarantee({name: 'green-8', account: 'green'})];

	// Guards against partially placed gangs, double allocations, and guarantees blocked by non-preemptible work, in unforeseen states.
	for (const ordering of ['firstFit', 'leastAttained', 'balanced'] as const) {
		it(`keeps gangs whole and guarantees reclaimable with ${ordering}`, () => {
			assert.isUndefined(checkGuarantees(RACKS.map((size, rack) => ({rack: `r${rack}`, workers: Array.from({length: size}, () => CAPACITY)})), guarantees));
			fc.assert(fc.property(fc.array(actionArbitrary, {minLength: 10, maxLength: 60}), actions => {
				const scheduler = cluster(RACKS, config({ordering, stragglerFactor: 0}, {guarantees}));
				const oracle = new Oracle();
				const jobs = new Map<string, SchedulerJob>();
				let nowMs = 0;
				for (const [index, action] of actions.entries()) {
					const waitUntilMs = nowMs + (action.kind === 'wait' ? action.ms : 10);
					if (action.kind === 'submit') {
						const {accelerators, ...change} = action.spec;
						const item = {...job(`j${index}`, change, accelerators), submittedAtMs: nowMs};
						jobs.set(item.jobId, item);
						scheduler.submit(item, nowMs);
					} else if (action.kind === 'end' && oracle.running.size > 0) {
						const [jobId, {tasks}] = [...oracle.running][action.pick % oracle.running.size]!;
						oracle.running.delete(jobId);
						scheduler.ended(jobId, action.end, action.end === 'failed' ? [tasks[0]!.workerId] : [], nowMs);
						scheduler.requeue(jobId, nowMs);
					} else if (action.kind === 'withdraw' && jobs.size > 0) {
						const jobId = [...jobs.keys()][action.pick % jobs.size]!;
						scheduler.withdraw(jobId);
						oracle.reclaims.delete(jobId);
					}

					// Stops take effect at their due time, also during a long wait.
					while (nowMs < waitUntilMs) {
						nowMs = Math.min(waitUntilMs, oracle.nextStopMs(nowMs + 10));
						step(scheduler, oracle, jobs, nowMs);
						oracle.check(guarantees);
					}

					for (const [jobId, sinceMs] of oracle.reclaims) {
						assert.isAtMost(nowMs - sinceMs, RECLAIM_BOUND_MS + 100, `${jobId} waits for its reclaim`);
					}
				}
			}), {numRuns: 150, seed: 7});
		});
	}
});
