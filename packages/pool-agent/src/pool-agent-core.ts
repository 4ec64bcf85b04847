import {
	type AgentReport, isSameShape, type LeaseGrant, type Refusal, REFUSALS, type WorkerFacts, type WorkerLists,
} from '@amaranthsail/pool';
import type {
	OrderAnswer, OrderRequest, StaleEpochAnswer, WatchAnswer, WatchRequest,
} from './agent-messages.js';
import {AnnouncedWorker, HEARTBEAT_EFFECTS, type KnownWorker} from './announced-worker.js';
import {AnswerLog} from './answer-log.js';
import {AnsweringIncarnation} from './answering-incarnation.js';
import {ChangeSignal} from './change-signal.js';
import {boundGrant, boundWaitMs} from './grant-bounds.js';
import {IncarnationTrace} from './incarnation-trace.js';
import {LEADER_TIMEOUT_MS, mayExtendLease, readStoredEpoch} from './lease-without-leader.js';
import {NewestLists} from './newest-lists.js';
import {PendingGrant} from './pending-grant.js';
import {pollWaitMs, WORKER_RETRY_DELAY_MS} from './poll-wait.js';
import type {PoolAgentCoreDependencies} from './pool-agent-dependencies.js';
import {fingerprintOf, toReportedLists} from './received-lists.js';

/** After this time the worker's clock, which counts milliseconds, has a later reading. */
const CLOCK_ADVANCE_DELAY_MS = 2;

/**
 * Delay between polls while the worker lists unacknowledged ends of runs, because it then answers every poll at once.
 * An acknowledgement arrives after about 20 ms and triggers its own poll.
 */
const UNACKNOWLEDGED_POLL_DELAY_MS = 100;

/** Time for checks which incarnation answers; leaves time for the start itself within the leader's timeout of an order. */
const INCARNATION_CHECK_TIMEOUT_MS = 250;

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
	readonly #announced = new AnnouncedWorker();
	readonly #lists = new NewestLists();
	readonly #grant = new PendingGrant();
	/** Counts on from all earlier incarnations of the agent on this VM, which have sent less than an order each millisecond. */
	#orderCount: number;
	readonly #changes = new ChangeSignal();
	readonly #answerLog: AnswerLog;
	#isRepollPending = false;
	#unansweredPollAtMs = Number.NEGATIVE_INFINITY;
	#isStopped = false;

	/** @param deps - Dependencies. */
	constructor(deps: PoolAgentCoreDependencies) {
		this.#deps = deps;
		this.#trace = new IncarnationTrace(deps.logger);
		this.#answerLog = new AnswerLog(deps.logger);
		this.#orderCount = Math.floor(deps.clock.monotonicMs());
	}

	/** Name of the announced incarnation if the newest lists are its own. */
	get #listedIncarnation(): string | undefined {
		const {known} = this.#announced;
		return known && known.startedAtMs === this.#lists.current?.bornMs ? known.facts.life : undefined;
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
		const effect = this.#announce(() => this.#announced.onHeartbeat(facts, sequence, startedAtMs, this.#deps.clock.monotonicMs()));
		if (effect !== HEARTBEAT_EFFECTS.taken) {
			this.#deps.logger.info(`heartbeat ${effect}`, {worker: facts.life, sequence, known: this.#announced.known?.facts.life, knownSequence: this.#announced.known?.sequence.known});
		}

		if (effect === HEARTBEAT_EFFECTS.held) {
			void this.#pollWorker(0, {isCheck: true});
		}
	}

	/**
	 * Processes the deregistration of the worker.
	 *
	 * @param workerId - Id of the worker.
	 * @param startedAtMs - Start time of the incarnation that has left, if the call names it.
	 */
	onLeave(workerId: string, startedAtMs?: number): void {
		this.#announced.onLeave(workerId, startedAtMs, this.#deps.clock.monotonicMs());
		if (this.#announced.known?.facts.id === workerId) {
			this.#deps.logger.info('deregistration held', {worker: this.#announced.known.facts.life});
			void this.#pollWorker(0, {isCheck: true});
		}
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

		const lists = this.#lists.current;
		if (lists && request.life !== undefined && request.life === this.#listedIncarnation) {
			const {leaseUntilMs, ackSequence} = boundGrant(request, lists, this.#deps.leaseMs);
			this.#grant.extendLease(leaseUntilMs);
			if (this.#grant.acknowledge(ackSequence)) {
				void this.#pollWorker(0);
			}
		}

		if (request.sinceVersion === this.#changes.version) {
			await Promise.race([this.#changes.next(), this.#deps.sleep(boundWaitMs(request))]);
		}

		return {
			incarnation: this.#deps.incarnation,
			version: this.#changes.version,
			leftLives: this.#announced.leftIncarnations,
			...(this.#announced.confirmed && {report: this.#buildReport(this.#announced.confirmed)}),
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

		const {known} = this.#announced;
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
		this.#changes.notify();
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
		const lists = this.#listedIncarnation === facts.life ? this.#lists.current : undefined;
		return {
			facts: facts.remainingMs === undefined ? facts : {...facts, remainingMs: Math.max(0, Math.round(facts.remainingMs - (nowMs - receivedAtMs)))},
			...(lists && {lists: toReportedLists(lists, nowMs)}),
		};
	}

	/** Reads the worker's lists; unless this is only a check which incarnation answers, renews the lease and acknowledges ends. */
	async #pollWorker(waitMs: number, {graceMs, isCheck = false}: {readonly graceMs?: number; readonly isCheck?: boolean} = {}): Promise<boolean> {
		const {known} = this.#announced;
		const ordersBefore = this.#orderCount;
		const poll = this.#lists.beginPoll();
		const grant = isCheck ? undefined : this.#grantFor(known);
		const answer = await this.#deps.worker.renewLease({
			epoch: this.#epoch,
			waitMs,
			...(graceMs !== undefined && {graceMs}),
			...(known && {workerId: known.facts.id, startedAtMs: known.startedAtMs}),
			...(grant && {grant}),
		});
		if (answer.kind === 'lists') {
			this.#answering.recordAnswer(answer.lists.bornMs, this.#deps.clock.monotonicMs());
			this.#answerLog.recordAnswer(this.#announced.known?.facts.life);
			const bornMs = answer.lists.bornMs ?? known?.startedAtMs;
			if (this.#takeLists({...answer.lists, ...(bornMs !== undefined && {bornMs})}, poll, ordersBefore)) {
				this.#announce(() => {
					this.#announced.onLists(answer.lists.bornMs, known?.facts.id, this.#deps.clock.monotonicMs());
				});
			}

			return true;
		}

		this.#answering.recordFailure();
		this.#unansweredPollAtMs = this.#deps.clock.monotonicMs();
		const isOtherWorker = answer.kind === 'refused' && answer.reason === REFUSALS.otherLife;
		if (answer.kind === 'gone') {
			this.#announce(() => {
				this.#announced.onRefused();
			});
		} else if (isOtherWorker) {
			this.#onLeft(this.#announce(() => this.#announced.onOtherWorker(known?.facts.id)));
		}

		this.#answerLog.recordFailure(this.#announced.known?.facts.life, answer.kind === 'refused' ? answer.reason : answer.kind);
		if (answer.kind === 'refused' && answer.reason === REFUSALS.fenced) {
			await this.#readLeaderEpoch();
		}

		return false;
	}

	/** @returns Acknowledgement and lease for the incarnation whose lists were received last, unless it is departing or another one is announced. */
	#grantFor(known: KnownWorker | undefined): LeaseGrant | undefined {
		const startedAtMs = this.#lists.current?.bornMs;
		const isOtherAnnounced = known !== undefined && known.startedAtMs !== startedAtMs;
		if (startedAtMs === undefined || isOtherAnnounced || this.#announced.isDeparting) {
			return undefined;
		}

		this.#trace.onAcknowledgement(this.#listedIncarnation, this.#grant.ackSequence);
		return this.#grant.for(startedAtMs);
	}

	/** Makes sure that a start reaches the announced incarnation of the worker and not a later one. */
	async #findStartRefusal({facts, startedAtMs}: KnownWorker): Promise<Refusal | undefined> {
		if (!this.#answering.isRecent(this.#deps.clock.monotonicMs()) || !this.#answering.isSame(startedAtMs)) {
			await this.#pollWorker(0, {graceMs: INCARNATION_CHECK_TIMEOUT_MS, isCheck: true});
		}

		if (this.#announced.known?.facts.life !== facts.life || !this.#answering.isSame(startedAtMs)) {
			return REFUSALS.otherLife;
		}

		return this.#answering.isRecent(this.#deps.clock.monotonicMs()) ? undefined : REFUSALS.unhealthy;
	}

	/** Tells the watchers when a change of the announced worker concerns them. */
	#announce<Effect>(change: () => Effect): Effect {
		const {known: previous, isDeparting: wasDeparting} = this.#announced;
		const effect = change();
		const {known, isDeparting} = this.#announced;
		if (isDeparting !== wasDeparting) {
			this.#deps.logger.info(isDeparting ? 'worker departing' : 'worker no longer departing', {worker: previous!.facts.life});
			this.#changes.notify();
		}

		if (!known || known === previous) {
			return effect;
		}

		const {facts, isConfirmed} = known;
		const isNew = previous?.facts.life !== facts.life;
		if (isNew || previous.isConfirmed !== isConfirmed || previous.facts.state !== facts.state || !isSameShape(previous.facts.capacity, facts.capacity)) {
			this.#deps.logger.info('worker announced', {worker: facts.life, state: facts.state, service: facts.service, capacity: facts.capacity, remainingMs: facts.remainingMs ?? -1, isConfirmed});
			this.#changes.notify();
		}

		if (isNew) {
			// The poll in progress may wait for its full time, or belong to the previous incarnation.
			void this.#pollWorker(0);
		}

		return effect;
	}

	#onLeft(incarnation: string | undefined): void {
		if (incarnation !== undefined) {
			this.#deps.logger.info('worker left', {worker: incarnation});
			this.#lists.clear();
			this.#changes.notify();
		}
	}

	#hasUnacknowledgedEnds(): boolean {
		return this.#lists.current?.ended.some(end => end.sequence > this.#grant.ackSequence) ?? false;
	}

	/** @returns Whether the lists are newer than the present ones. */
	#takeLists(lists: WorkerLists, poll: number, ordersBefore: number): boolean {
		const previous = this.#lists.current;
		const order = this.#lists.take(lists, poll, ordersBefore, this.#deps.clock.monotonicMs());
		if (order === 'older') {
			return false;
		}

		if (order === 'unordered') {
			void this.#repollWorker();
			return false;
		}

		this.#trace.onLists(this.#announced.known?.facts.life, lists);
		if (order === 'otherIncarnation') {
			this.#grant.reset();
			if (previous) {
				// Until it has received a call of its own, it does not refuse late ones for the incarnation before it.
				void this.#pollWorker(0);
			}
		}

		if (!previous || fingerprintOf(previous) !== fingerprintOf(this.#lists.current)) {
			this.#changes.notify();
		}

		return true;
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
		const lists = this.#lists.current;
		if (this.leaderSilentMs < LEADER_TIMEOUT_MS) {
			return;
		}

		if (this.#epoch === 0) {
			await this.#readLeaderEpoch();
		}

		if (lists === undefined || lists.running.length === 0 || this.#announced.isDeparting) {
			return;
		}

		const isAllowed = await mayExtendLease(this.#deps.store, {incarnation: this.#listedIncarnation, bornMs: lists.bornMs}, this.#deps.logger);
		if (!isAllowed || this.#lists.current?.bornMs !== lists.bornMs) {
			return;
		}

		// Counted from a clock reading before the store read, so that a suspicion stored after it still bounds the lease.
		this.#grant.extendLease(Math.floor(lists.clockMs + this.#deps.leaseMs));
	}

	async #readLeaderEpoch(): Promise<void> {
		const epoch = await readStoredEpoch(this.#deps.store);
		this.#epoch = Math.max(this.#epoch, epoch);
	}
}
