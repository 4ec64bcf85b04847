import type {Clock, Logger} from '@amaranthsail/core';
import {
	type AgentReport, type LeaderRow, LEADER_KEY, type PoolStore, REFUSALS, TABLES, type WorkerFacts, type WorkerLists, type WorkerPort,
} from '@amaranthsail/pool';
import type {
	OrderAnswer, OrderRequest, StaleEpochAnswer, WatchAnswer, WatchRequest,
} from './agent-messages.js';

/** A worker answers a look within this time unless a run ends earlier; also the age of its lists. */
const HOLD_WAIT_MS = 1000;

/** The worker's clock counts milliseconds. */
const CLOCK_TICK_MS = 2;

/** Pause after a look that the worker did not answer. */
const HOLD_RETRY_MS = 150;

/**
 * Pause while the worker lists ends that are not acknowledged: it answers every look at once then. An acknowledgement
 * takes about 20 ms and brings a look of its own.
 */
const UNACKNOWLEDGED_PAUSE_MS = 100;

/** Without a call of a leader for this time, the agent extends the lease itself. */
const LEADER_SILENT_MS = 2000;

/** Timeout of a read of the store; it answers within milliseconds unless it is slow. */
const STORE_TIMEOUT_MS = 1500;

/** Lives of workers that left which are still reported. */
const KEPT_LEFT_LIVES = 8;

/** What an agent works with. */
export type AgentDependencies = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly store: PoolStore;
	readonly worker: WorkerPort;
	/** Lease that the agent grants itself while the store does not suspect its worker. */
	readonly leaseMs: number;
	/** Distinguishes lives of the agent. */
	readonly incarnation: string;
	readonly sleep: (ms: number) => Promise<void>;
};

type Lists = WorkerLists & {readonly atMs: number; readonly ordersBefore: number};

type KnownFacts = {readonly facts: WorkerFacts; readonly sequence: number; readonly bornMs: number; readonly atMs: number};

/**
 * The agent's state: what its worker says, and what a leader allows.
 *
 * It decides nothing about tasks. It relays orders, keeps the lease alive, and reports.
 */
export class AgentCore {
	readonly #deps: AgentDependencies;
	#epoch = 0;
	#leaderAtMs = Number.NEGATIVE_INFINITY;
	#known: KnownFacts | undefined;
	#lists: Lists | undefined;
	#listedLife: string | undefined;
	#leaseUntilMs = 0;
	#ackSequence = 0;
	#orderCount = 0;
	#version = 0;
	#leftLives: readonly string[] = [];
	#waiters: Array<() => void> = [];
	#isWorkerAnswering = false;
	#isLookingAgain = false;
	#isStopped = false;

	/** @param deps - What the agent works with. */
	constructor(deps: AgentDependencies) {
		this.#deps = deps;
	}

	/** Milliseconds since a leader called; infinite before the first call. */
	get leaderSilentMs(): number {
		return this.#deps.clock.monotonicMs() - this.#leaderAtMs;
	}

	/**
	 * Takes a heartbeat.
	 *
	 * @param facts - What the worker says of itself.
	 * @param sequence - Number of the heartbeat within the worker's life.
	 * @param bornMs - Start of that life.
	 */
	onHeartbeat(facts: WorkerFacts, sequence: number, bornMs: number): void {
		const known = this.#known;
		const isEarlierLife = known !== undefined && bornMs < known.bornMs && this.#lists?.bornMs !== bornMs;
		if (known && (isEarlierLife || (bornMs === known.bornMs && sequence <= known.sequence))) {
			this.#deps.logger.info('heartbeat out of order', {worker: facts.life, sequence, known: known.facts.life, knownSequence: known.sequence});
			return;
		}

		const isNews = known?.facts.life !== facts.life || known.facts.state !== facts.state;
		this.#known = {facts, sequence, bornMs, atMs: this.#deps.clock.monotonicMs()};
		if (isNews) {
			this.#deps.logger.info('worker announced', {worker: facts.life, state: facts.state, service: facts.service, remainingMs: facts.remainingMs ?? -1});
			this.#changed();
		}

		if (known?.facts.life !== facts.life) {
			// The look that is under way may take its whole wait, or belong to the life before.
			void this.#look(0);
		}
	}

	/**
	 * Takes the worker's news that it ends.
	 *
	 * @param workerId - Id of the worker.
	 */
	onLeave(workerId: string): void {
		if (this.#known?.facts.id !== workerId) {
			return;
		}

		this.#deps.logger.info('worker left', {worker: this.#known.facts.life});
		this.#leftLives = [...this.#leftLives, this.#known.facts.life].slice(-KEPT_LEFT_LIVES);
		this.#known = undefined;
		this.#lists = undefined;
		this.#changed();
	}

	/**
	 * Answers a leader's question, at once when there is news.
	 *
	 * @param request - The question.
	 * @returns The report, or the higher epoch that the agent knows.
	 */
	async onWatch(request: WatchRequest): Promise<WatchAnswer | StaleEpochAnswer> {
		if (!this.#acceptEpoch(request.epoch)) {
			return {epoch: this.#epoch};
		}

		if (request.life !== undefined && request.life === this.#listedLife) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, request.leaseUntilMs ?? 0);
			if ((request.ackSequence ?? 0) > this.#ackSequence) {
				this.#ackSequence = request.ackSequence!;
				void this.#look(0);
			}
		}

		if (request.sinceVersion === this.#version) {
			await this.#waitForChange(request.waitMs);
		}

		return {
			incarnation: this.#deps.incarnation,
			version: this.#version,
			leftLives: this.#leftLives,
			...(this.#known && {report: this.#report(this.#known)}),
		};
	}

	/**
	 * Relays an order to the worker.
	 *
	 * @param request - The order.
	 * @returns What became of it, or the higher epoch that the agent knows.
	 */
	async onOrder(request: OrderRequest): Promise<OrderAnswer | StaleEpochAnswer> {
		if (!this.#acceptEpoch(request.epoch)) {
			return {epoch: this.#epoch};
		}

		const known = this.#known;
		if (known?.facts.life !== request.life) {
			return {outcome: {kind: 'refused', reason: REFUSALS.otherLife}, orderCount: this.#orderCount};
		}

		const {outcome} = await this.#deps.worker.order(request.order, request.epoch, known.facts.id);
		this.#orderCount++;
		this.#deps.logger.info('order relayed', {
			task: request.order.task, run: request.order.run, order: request.order.kind, epoch: request.epoch, worker: request.life, outcome: outcome.kind, ...(outcome.kind === 'refused' && {reason: outcome.reason}),
		});
		void this.#look(0);
		return {outcome, orderCount: this.#orderCount};
	}

	/** Looks at the worker until {@link AgentCore.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			await this.#extendWithoutLeader();
			const isAnswered = await this.#look(HOLD_WAIT_MS);
			if (!isAnswered) {
				await this.#deps.sleep(HOLD_RETRY_MS);
			} else if (this.#hasUnacknowledgedEnds()) {
				await this.#deps.sleep(UNACKNOWLEDGED_PAUSE_MS);
			}
		}
	}

	/** Ends {@link AgentCore.run} after the look that is under way. */
	stop(): void {
		this.#isStopped = true;
		this.#changed();
	}

	#acceptEpoch(epoch: number): boolean {
		if (epoch < this.#epoch) {
			return false;
		}

		if (epoch > this.#epoch) {
			this.#deps.logger.info('leader accepted', {epoch, previousEpoch: this.#epoch});
			this.#epoch = epoch;
		}

		this.#leaderAtMs = this.#deps.clock.monotonicMs();
		return true;
	}

	#report({facts, atMs}: KnownFacts): AgentReport {
		const nowMs = this.#deps.clock.monotonicMs();
		const lists = this.#listedLife === facts.life ? this.#lists : undefined;
		return {
			facts: facts.remainingMs === undefined ? facts : {...facts, remainingMs: Math.max(0, Math.round(facts.remainingMs - (nowMs - atMs)))},
			...(lists && {
				lists: {
					clockMs: lists.clockMs, ageMs: Math.round(nowMs - lists.atMs), ordersBefore: lists.ordersBefore, running: lists.running, ended: lists.ended,
				},
			}),
		};
	}

	/** Extends the lease, acknowledges ends, and reads the worker's lists. */
	async #look(waitMs: number): Promise<boolean> {
		const known = this.#known;
		const ordersBefore = this.#orderCount;
		const answer = await this.#deps.worker.hold({
			epoch: this.#epoch,
			ackSequence: this.#ackSequence,
			waitMs,
			...(this.#leaseUntilMs > 0 && {leaseUntilMs: this.#leaseUntilMs}),
			...(known && {workerId: known.facts.id}),
		});
		if (answer.kind === 'lists') {
			this.#noteAnswering(true, '');
			this.#onLists(answer.lists, ordersBefore, known);
			return true;
		}

		this.#noteAnswering(false, answer.kind === 'refused' ? answer.reason : answer.kind);
		if (answer.kind === 'refused' && answer.reason === REFUSALS.fenced) {
			await this.#readLeader();
		}

		return false;
	}

	#hasUnacknowledgedEnds(): boolean {
		return this.#lists?.ended.some(end => end.sequence > this.#ackSequence) ?? false;
	}

	#onLists(lists: WorkerLists, ordersBefore: number, known: KnownFacts | undefined): void {
		const life = known && (lists.bornMs === undefined || lists.bornMs === known.bornMs) ? known.facts.life : undefined;
		const previous = this.#listedLife === life ? this.#lists : undefined;
		if (previous && lists.clockMs <= previous.clockMs) {
			// Answers on different connections may overtake each other, and those of one millisecond have no order.
			if (lists.clockMs === previous.clockMs) {
				void this.#lookAgainSoon();
			}

			return;
		}

		if (this.#listedLife !== life || (previous && previous.bornMs !== lists.bornMs)) {
			this.#ackSequence = 0;
			this.#leaseUntilMs = 0;
		}

		this.#lists = {...lists, atMs: this.#deps.clock.monotonicMs(), ordersBefore};
		this.#listedLife = life;
		if (!previous || fingerprint(previous) !== fingerprint(this.#lists)) {
			this.#changed();
		}
	}

	/** Asks for lists with a later reading of the worker's clock. */
	async #lookAgainSoon(): Promise<void> {
		if (this.#isLookingAgain) {
			return;
		}

		this.#isLookingAgain = true;
		await this.#deps.sleep(CLOCK_TICK_MS);
		await this.#look(0);
		this.#isLookingAgain = false;
	}

	/** While no leader calls, the lease is extended unless the store says that the worker is suspected. */
	async #extendWithoutLeader(): Promise<void> {
		const lists = this.#lists;
		if (this.leaderSilentMs < LEADER_SILENT_MS) {
			return;
		}

		if (this.#epoch === 0) {
			await this.#readLeader();
		}

		if (!lists || lists.running.length === 0) {
			return;
		}

		const suspects = await this.#deps.store.read(TABLES.suspects, {}, STORE_TIMEOUT_MS);
		if (!suspects.ok) {
			this.#deps.logger.warn('store not reached', {error: suspects.error.kind, purpose: 'lease without leader'});
			return;
		}

		const isSuspected = suspects.value.rows.some(row => row.key === this.#listedLife || row.key.endsWith(`@${lists.bornMs}`));
		if (isSuspected) {
			this.#deps.logger.warn('lease not extended', {worker: this.#listedLife ?? 'unknown', reason: 'suspected', storeVersion: suspects.value.version});
			return;
		}

		// Counted from the clock before the read, so that a mark stored after it still bounds the lease.
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.floor(lists.clockMs + this.#deps.leaseMs));
	}

	async #readLeader(): Promise<void> {
		const page = await this.#deps.store.read(TABLES.leader, {from: LEADER_KEY}, STORE_TIMEOUT_MS);
		const row = page.ok ? page.value.rows[0]?.value as LeaderRow | undefined : undefined;
		if (row && row.epoch > this.#epoch) {
			this.#epoch = row.epoch;
		}
	}

	#noteAnswering(isAnswering: boolean, reason: string): void {
		if (isAnswering !== this.#isWorkerAnswering) {
			this.#isWorkerAnswering = isAnswering;
			this.#deps.logger.info(isAnswering ? 'worker answers' : 'worker does not answer', {worker: this.#known?.facts.life ?? 'unknown', reason});
		}
	}

	#changed(): void {
		this.#version++;
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const waiter of waiters) {
			waiter();
		}
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await Promise.race([
			new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			}),
			this.#deps.sleep(waitMs),
		]);
	}
}

/** Changes when a run comes or goes; progress alone waits for the next answer. */
function fingerprint(lists: Lists): string {
	return `${lists.bornMs}/${lists.ordersBefore}/${lists.running.map(run => `${run.task}#${run.run}`).join(',')}/${lists.ended.map(end => end.sequence).join(',')}`;
}
