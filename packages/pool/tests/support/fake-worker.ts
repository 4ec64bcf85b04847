import {
	type AgentReport, type ListedEnd, type ListedRun, type OrderOutcome, REFUSALS, type RunOutcome, type WorkerFacts, type WorkerOrder, WORKER_STATES,
} from '@amaranthsail/pool';

type HeldRun = {readonly run: number; checkpoint: string; percent: number};

/** Reports come every 100 ms, and the tasks of most tests take 3 s. */
const PERCENT_PER_REPORT = 3;

/** A worker with its agent, as the leader's core sees them. */
export class FakeWorker {
	readonly runs = new Map<string, HeldRun>();
	ended: ListedEnd[] = [];
	readonly started: string[] = [];
	ackSequence = 0;
	leaseUntilMs = 0;
	facts: WorkerFacts;
	/** Orders are lost on the way. */
	isDeaf = false;
	/** Starts are answered with this refusal. */
	refusal: (typeof REFUSALS)[keyof typeof REFUSALS] | undefined;
	/** Its tasks make no progress. */
	isStuck = false;
	/** Stops are acknowledged, and the runs go on until this is false again. */
	isSlowToStop = false;
	readonly #stopping = new Set<string>();
	#clockMs = 0;
	#sequence = 0;
	#orderCount = 0;
	readonly #highestEnded = new Map<string, number>();

	constructor(readonly agent: string, options: Partial<WorkerFacts> = {}) {
		this.facts = {
			life: `${agent}@1000`,
			id: agent,
			service: 'registry',
			failureDomain: 'catania',
			state: WORKER_STATES.ready,
			capacity: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8},
			labels: ['a', 'r1'],
			...options,
		};
	}

	report(clockMs: number): AgentReport {
		if (clockMs > this.#clockMs && !this.isStuck) {
			for (const held of this.runs.values()) {
				held.percent = Math.min(held.percent + PERCENT_PER_REPORT, 99);
			}
		}

		if (!this.isSlowToStop) {
			for (const task of this.#stopping) {
				this.#stopping.delete(task);
				this.end(task, 'stopped', this.runs.get(task)!.checkpoint);
			}
		}

		this.#clockMs = Math.max(this.#clockMs, clockMs);
		const running: ListedRun[] = [...this.runs.entries()].map(([task, held]) => ({task, run: held.run, checkpoint: held.checkpoint, percent: held.percent}));
		return {facts: this.facts, lists: {clockMs, ageMs: 0, ordersBefore: this.#orderCount, running, ended: this.ended.filter(end => end.sequence > this.ackSequence)}};
	}

	order(order: WorkerOrder): {outcome: OrderOutcome; orderCount: number} {
		this.#orderCount++;
		return {outcome: this.#carryOut(order), orderCount: this.#orderCount};
	}

	end(task: string, outcome: RunOutcome, checkpoint = ''): void {
		const held = this.runs.get(task)!;
		this.runs.delete(task);
		this.#highestEnded.set(task, Math.max(held.run, this.#highestEnded.get(task) ?? 0));
		this.ended.push({sequence: ++this.#sequence, task, run: held.run, outcome, checkpoint});
	}

	#carryOut(order: WorkerOrder): OrderOutcome {
		if (order.kind === 'stop') {
			const held = this.runs.get(order.task);
			if (held?.run === order.run && this.isSlowToStop) {
				this.#stopping.add(order.task);
			} else if (held?.run === order.run) {
				this.end(order.task, 'stopped', held.checkpoint);
			} else {
				this.#highestEnded.set(order.task, Math.max(order.run, this.#highestEnded.get(order.task) ?? 0));
			}

			return {kind: 'done'};
		}

		if (this.refusal) {
			return {kind: 'refused', reason: this.refusal};
		}

		if (order.run <= (this.#highestEnded.get(order.task) ?? 0)) {
			return {kind: 'refused', reason: REFUSALS.superseded};
		}

		if (this.runs.get(order.task)?.run !== order.run) {
			this.runs.set(order.task, {run: order.run, checkpoint: order.checkpoint, percent: 0});
			this.started.push(`${order.task}#${order.run}`);
		}

		return {kind: 'done'};
	}
}
