import type {Clock, Logger} from '@amaranthsail/core';
import {
	type AgentReport, isSameShape, type LeaseGrant, type PoolStore, type Refusal, REFUSALS, type WorkerFacts, type WorkerLists, type WorkerPort,
} from '@amaranthsail/pool';
import type {
	OrderAnswer, OrderRequest, StaleEpochAnswer, WatchAnswer, WatchRequest,
} from './agent-messages.js';
import {AnsweringIncarnation} from './answering-incarnation.js';
import {IncarnationTrace} from './incarnation-trace.js';
import {mayExtendLease, readStoredEpoch} from './lease-without-leader.js';
import {pollWaitMs} from './poll-wait.js';
import {fingerprintOf} from './received-lists.js';
import {type KnownWorker, WorkerView} from './worker-view.js';

/** After this time the worker's clock, which counts milliseconds, has a later reading. */
const CLOCK_ADVANCE_DELAY_MS = 2;

/** Delay before the next poll after one that failed. */
const WORKER_RETRY_DELAY_MS = 150;

/**
 * Delay between polls while the worker lists unacknowledged ends of runs, because it then answers every poll at once.
 * An acknowledgement arrives after about 20 ms and triggers its own poll.
 */
const UNACKNOWLEDGED_POLL_DELAY_MS = 100;

/** The agent renews the lease itself when no leader has called for this time. */
const LEADER_TIMEOUT_MS = 2000;

/** Time for checks which incarnation answers; leaves time for the start itself within the leader's timeout of an order. */
const INCARNATION_CHECK_TIMEOUT_MS = 250;

/** Dependencies of {@link PoolAgentCore}. */
export type PoolAgentCoreDependencies = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly store: PoolStore;
	readonly worker: WorkerPort;
	/** Length of the lease that the agent grants without a leader, while the store does not list its worker as suspected. */
	readonly leaseMs: number;
	/** Identifies this incarnation of the agent. */
	readonly incarnation: string;
	readonly sleep: (ms: number) => Promise<void>;
};

/**
 * State of the agent: the worker's heartbeats and lists, and the epoch, lease and acknowledgements of the leader.
 *
 * It makes no decisions about tasks; it relays orders, renews the lease and reports.
 */
export class PoolAgentCore {
	readonly #deps: PoolAgentCoreDependencies;
	#epoch = 0;
	#lastLeaderCallAtMs = Number.NEGATIVE_INFINITY;
	readonly #answering = new AnsweringIncarnation();
	readonly #trace: IncarnationTrace;
	readonly #view = new WorkerView();
	#leaseUntilMs = 0;
	#ackSequence = 0;
	/** Counts on from all earlier incarnations of the agent on this VM, which have sent less than an order each millisecond. */
	#orderCount: number;
	#reportVersion = 0;
	#watchWaiters: Array<() => void> = [];
	#isWorkerAnswering = false;
	#isRepollPending = false;
	#unansweredPollAtMs = Number.NEGATIVE_INFINITY;
	#isStopped = false;

	/** @param deps - Dependencies. */
	constructor(deps: PoolAgentCoreDependencies) {
		this.#deps = deps;
		this.#trace = new IncarnationTrace(deps.logger);
		this.#orderCount = Math.floor(deps.clock.monotonicMs());
	}

	/** Milliseconds since the last call of a leader; infinite before the first call. */
	get leaderSilentMs(): number {
		return this.#deps.clock.monotonicMs() - this.#lastLeaderCallAtMs;
	}

	/**
	 * Processes a heartbeat of the worker.
	 *
	 * @param facts - State and capacity that the worker reports.
	 * @param sequence - Number of the heartbeat within the worker's incarnation.
	 * @param startedAtMs - Start time of that incarnation.
	 */
	onHeartbeat(facts: WorkerFacts, sequence: number, startedAtMs: number): void {
		const {known} = this.#view;
		if (!this.#view.takeHeartbeat(facts, sequence, startedAtMs, this.#deps.clock.monotonicMs())) {
			this.#deps.logger.info('heartbeat out of order', {worker: facts.life, sequence, known: known?.facts.life ?? 'none', knownSequence: known?.sequence ?? 0});
			return;
		}

		const isChanged = known?.facts.life !== facts.life || known.facts.state !== facts.state || !isSameShape(known.facts.capacity, facts.capacity);
		if (isChanged) {
			this.#deps.logger.info('worker announced', {worker: facts.life, state: facts.state, service: facts.service, capacity: facts.capacity, remainingMs: facts.remainingMs ?? -1});
			this.#notifyWatchers();
		}

		if (known?.facts.life !== facts.life) {
			// The poll in progress may wait for its full time, or belong to the previous incarnation.
			void this.#pollWorker(0);
		}
	}

	/**
	 * Processes the deregistration of the worker.
	 *
	 * @param workerId - Id of the worker.
	 * @param startedAtMs - Start time of the incarnation that has left, if the call names it.
	 */
	onLeave(workerId: string, startedAtMs?: number): void {
		const {known} = this.#view;
		if (known?.facts.id !== workerId) {
			return;
		}

		if (!this.#view.leave(startedAtMs)) {
			this.#deps.logger.info('deregistration ignored', {worker: known.facts.life, state: known.facts.state, startedAtMs: startedAtMs ?? 'unknown'});
			return;
		}

		this.#deps.logger.info('worker left', {worker: known.facts.life});
		this.#notifyWatchers();
	}

	/**
	 * Answers a leader's watch: at once when the report has changed, otherwise after a change or the requested wait.
	 *
	 * @param request - The watch request.
	 * @returns The report, or the epoch that the agent knows if it is higher than the request's.
	 */
	async onWatch(request: WatchRequest): Promise<WatchAnswer | StaleEpochAnswer> {
		if (!this.#acceptEpoch(request.epoch)) {
			return {epoch: this.#epoch};
		}

		if (request.life !== undefined && request.life === this.#view.listedIncarnation) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, request.leaseUntilMs ?? 0);
			if ((request.ackSequence ?? 0) > this.#ackSequence) {
				this.#ackSequence = request.ackSequence!;
				void this.#pollWorker(0);
			}
		}

		if (request.sinceVersion === this.#reportVersion) {
			await this.#waitForChange(request.waitMs);
		}

		return {
			incarnation: this.#deps.incarnation,
			version: this.#reportVersion,
			leftLives: this.#view.leftIncarnations,
			...(this.#view.known && {report: this.#buildReport(this.#view.known)}),
		};
	}

	/**
	 * Relays an order to the worker.
	 *
	 * @param request - The order.
	 * @returns The outcome, or the epoch that the agent knows if it is higher than the request's.
	 */
	async onOrder(request: OrderRequest): Promise<OrderAnswer | StaleEpochAnswer> {
		if (!this.#acceptEpoch(request.epoch)) {
			return {epoch: this.#epoch};
		}

		const {known} = this.#view;
		if (known?.facts.life !== request.life) {
			return {outcome: {kind: 'refused', reason: REFUSALS.otherLife}, orderCount: this.#orderCount};
		}

		const receivedAtMs = this.#deps.clock.monotonicMs();
		const refusal = request.order.kind === 'start' ? await this.#findStartRefusal(known) : undefined;
		if (refusal) {
			this.#deps.logger.info('start not relayed', {task: request.order.task, run: request.order.run, worker: request.life, reason: refusal, answeringSinceMs: this.#answering.startedAtMs ?? 'unknown'});
			return {outcome: {kind: 'refused', reason: refusal}, orderCount: this.#orderCount};
		}

		const {outcome} = await this.#deps.worker.order(request.order, request.epoch, {
			id: known.facts.id,
			startedAtMs: known.startedAtMs,
			identifyWithinMs: Math.max(0, INCARNATION_CHECK_TIMEOUT_MS - (this.#deps.clock.monotonicMs() - receivedAtMs)),
		});
		this.#orderCount++;
		if (outcome.kind === 'unknown' || outcome.kind === 'gone') {
			this.#answering.recordFailure();
		}

		this.#deps.logger.info('order relayed', {
			task: request.order.task, run: request.order.run, order: request.order.kind, epoch: request.epoch, worker: request.life, outcome: outcome.kind, ...(outcome.kind === 'refused' && {reason: outcome.reason}),
		});
		void this.#pollWorker(0);
		return {outcome, orderCount: this.#orderCount};
	}

	/** Polls the worker until {@link PoolAgentCore.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			await this.#renewLeaseWithoutLeader();
			const isAnswered = await this.#pollWorker(pollWaitMs(this.#deps.clock.monotonicMs() - this.#unansweredPollAtMs));
			if (!isAnswered) {
				await this.#deps.sleep(WORKER_RETRY_DELAY_MS);
			} else if (this.#hasUnacknowledgedEnds()) {
				await this.#deps.sleep(UNACKNOWLEDGED_POLL_DELAY_MS);
			}
		}
	}

	/** Stops {@link PoolAgentCore.run} after the poll in progress. */
	stop(): void {
		this.#isStopped = true;
		this.#notifyWatchers();
	}

	#acceptEpoch(epoch: number): boolean {
		if (epoch < this.#epoch) {
			return false;
		}

		if (epoch > this.#epoch) {
			this.#deps.logger.info('leader accepted', {epoch, previousEpoch: this.#epoch});
			this.#epoch = epoch;
		}

		this.#lastLeaderCallAtMs = this.#deps.clock.monotonicMs();
		return true;
	}

	#buildReport({facts, receivedAtMs}: KnownWorker): AgentReport {
		const nowMs = this.#deps.clock.monotonicMs();
		const lists = this.#view.listedIncarnation === facts.life ? this.#view.lists : undefined;
		return {
			facts: facts.remainingMs === undefined ? facts : {...facts, remainingMs: Math.max(0, Math.round(facts.remainingMs - (nowMs - receivedAtMs)))},
			...(lists && {
				lists: {
					clockMs: lists.clockMs, ageMs: Math.round(nowMs - lists.receivedAtMs), ordersBefore: lists.ordersBefore, running: lists.running, ended: lists.ended,
				},
			}),
		};
	}

	/** Renews the lease, acknowledges ends of runs, and reads the worker's lists. */
	async #pollWorker(waitMs: number, graceMs?: number): Promise<boolean> {
		const {known} = this.#view;
		const ordersBefore = this.#orderCount;
		const poll = this.#view.beginPoll();
		// A check which incarnation answers needs no grant.
		const grant = graceMs === undefined ? this.#grantFor(known) : undefined;
		const answer = await this.#deps.worker.renewLease({
			epoch: this.#epoch,
			waitMs,
			...(graceMs !== undefined && {graceMs}),
			...(known && {workerId: known.facts.id, startedAtMs: known.startedAtMs}),
			...(grant && {grant}),
		});
		if (answer.kind === 'lists') {
			this.#answering.recordAnswer(answer.lists.bornMs, this.#deps.clock.monotonicMs());
			this.#setWorkerAnswering(true, '');
			const bornMs = answer.lists.bornMs ?? known?.startedAtMs;
			this.#onLists({...answer.lists, ...(bornMs !== undefined && {bornMs})}, poll, ordersBefore);
			return true;
		}

		this.#answering.recordFailure();
		this.#unansweredPollAtMs = this.#deps.clock.monotonicMs();
		this.#setWorkerAnswering(false, answer.kind === 'refused' ? answer.reason : answer.kind);
		if (answer.kind === 'refused' && answer.reason === REFUSALS.fenced) {
			await this.#readLeaderEpoch();
		}

		return false;
	}

	/** @returns Acknowledgement and lease for the incarnation whose lists were received last, unless another one is announced. */
	#grantFor(known: KnownWorker | undefined): LeaseGrant | undefined {
		const startedAtMs = this.#view.lists?.bornMs ?? known?.startedAtMs ?? 0;
		const isOtherAnnounced = known !== undefined && known.startedAtMs !== startedAtMs;
		if (isOtherAnnounced || (this.#ackSequence === 0 && this.#leaseUntilMs === 0)) {
			return undefined;
		}

		this.#trace.onAcknowledgement(this.#view.listedIncarnation, this.#ackSequence);
		return {startedAtMs, ackSequence: this.#ackSequence, ...(this.#leaseUntilMs > 0 && {leaseUntilMs: this.#leaseUntilMs})};
	}

	/** Makes sure that a start reaches the announced incarnation of the worker and not a later one. */
	async #findStartRefusal({facts, startedAtMs}: KnownWorker): Promise<Refusal | undefined> {
		if (!this.#answering.isRecent(this.#deps.clock.monotonicMs()) || !this.#answering.isSame(startedAtMs)) {
			await this.#pollWorker(0, INCARNATION_CHECK_TIMEOUT_MS);
		}

		if (this.#view.known?.facts.life !== facts.life || !this.#answering.isSame(startedAtMs)) {
			return REFUSALS.otherLife;
		}

		return this.#answering.isRecent(this.#deps.clock.monotonicMs()) ? undefined : REFUSALS.unhealthy;
	}

	#hasUnacknowledgedEnds(): boolean {
		return this.#view.lists?.ended.some(end => end.sequence > this.#ackSequence) ?? false;
	}

	#onLists(lists: WorkerLists, poll: number, ordersBefore: number): void {
		const previous = this.#view.lists;
		const order = this.#view.takeLists(lists, poll, ordersBefore, this.#deps.clock.monotonicMs());
		if (order === 'older') {
			return;
		}

		if (order === 'unordered') {
			void this.#repollWorker();
			return;
		}

		this.#trace.onLists(this.#view.known?.facts.life, lists);
		if (order === 'otherIncarnation') {
			this.#ackSequence = 0;
			this.#leaseUntilMs = 0;
			if (previous) {
				// Until it has received a call of its own, it does not refuse late ones for the incarnation before it.
				void this.#pollWorker(0);
			}
		}

		if (!previous || fingerprintOf(previous) !== fingerprintOf(this.#view.lists)) {
			this.#notifyWatchers();
		}
	}

	/** Polls for lists with a later reading of the worker's clock. */
	async #repollWorker(): Promise<void> {
		if (this.#isRepollPending) {
			return;
		}

		this.#isRepollPending = true;
		await this.#deps.sleep(CLOCK_ADVANCE_DELAY_MS);
		await this.#pollWorker(0);
		this.#isRepollPending = false;
	}

	/** While no leader calls, renews the lease unless the store lists the worker as suspected or cannot be read. */
	async #renewLeaseWithoutLeader(): Promise<void> {
		const {lists} = this.#view;
		if (this.leaderSilentMs < LEADER_TIMEOUT_MS) {
			return;
		}

		if (this.#epoch === 0) {
			await this.#readLeaderEpoch();
		}

		if (!lists || lists.running.length === 0) {
			return;
		}

		const isAllowed = await mayExtendLease(this.#deps.store, this.#view, this.#deps.logger);
		if (!isAllowed || this.#view.lists?.bornMs !== lists.bornMs) {
			return;
		}

		// Counted from a clock reading before the store read, so that a suspicion stored after it still bounds the lease.
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.floor(lists.clockMs + this.#deps.leaseMs));
	}

	async #readLeaderEpoch(): Promise<void> {
		const epoch = await readStoredEpoch(this.#deps.store);
		this.#epoch = Math.max(this.#epoch, epoch);
	}

	#setWorkerAnswering(isAnswering: boolean, reason: string): void {
		if (isAnswering !== this.#isWorkerAnswering) {
			this.#isWorkerAnswering = isAnswering;
			this.#deps.logger.info(isAnswering ? 'worker answers' : 'worker does not answer', {worker: this.#view.known?.facts.life ?? 'unknown', reason});
		}
	}

	#notifyWatchers(): void {
		this.#reportVersion++;
		const waiters = this.#watchWaiters;
		this.#watchWaiters = [];
		for (const waiter of waiters) {
			waiter();
		}
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await Promise.race([
			new Promise<void>(resolve => {
				this.#watchWaiters.push(resolve);
			}),
			this.#deps.sleep(waitMs),
		]);
	}
}
