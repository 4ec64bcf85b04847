import type {Clock, Logger} from '@amaranthsail/core';
import {
	decodeJobRow, decodeMemberRow, type JobRow, parseJobKey, POOL_EVENTS, PoolCore, type PoolConfig, type PoolLimits, type PoolStore, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {type ErrorGuard, type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {AgentLinks} from './agent-links.js';
import {CommitLoop, type Leadership} from './commit-loop.js';
import {createDecisionLog} from './decision-log.js';
import type {EvacuationFollower} from './evacuation-follower.js';
import {LeadershipPermit} from './leadership-permit.js';
import {readWholeTable, type TableRows} from './table-reader.js';
import {TombstoneSweeper} from './tombstone-sweeper.js';

/** Longest time between two ticks of the core. */
const TICK_INTERVAL_MS = 100;

/** Longest wait of a feed call; also bounds how late a silent connection is noticed. */
const FEED_WAIT_MS = 700;

const RETRY_DELAY_MS = 100;

/** Counting jobs and runs takes time that grows with the pool; metrics are read every few seconds. */
const GAUGE_INTERVAL_MS = 5000;

/** A leader whose commits have failed for this long reports that it does not lead, so that a standby takes over. */
const MAX_COMMIT_FAILURE_MS = 700;

/**
 * A leader that cannot read the stored state for this long reports that it does not lead. Another entry needs an answer
 * of the store within less than this in order to take over.
 */
const MAX_READ_FAILURE_MS = 1200;

/** Dependencies of {@link PoolLeader}. */
export type PoolLeaderDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly limits: PoolLimits;
	readonly guard: ErrorGuard;
	/** Absent in deployments without evacuations. */
	readonly evacuations?: EvacuationFollower | undefined;
	/** Called once when another process leads or has to take over; with the epoch that another process knows, if one does. */
	readonly onLeadershipLost: (reason: string, knownEpoch?: number) => void;
};

/** Leads the pool: connects the core to the store, the agents and the clock. */
export class PoolLeader {
	readonly core: PoolCore;
	readonly #deps: PoolLeaderDependencies;
	readonly #leadership: Leadership;
	readonly #commitLoop: CommitLoop;
	readonly #agentLinks: AgentLinks;
	readonly #permit: LeadershipPermit;
	readonly #tombstones: TombstoneSweeper;
	#gaugesDueMs = Number.NEGATIVE_INFINITY;
	/** Last answer of the store to the takeover or to a read of the stored state. */
	#lastReadAtMs: number;
	#isStopped = false;
	#isRecovered = false;
	#isTickScheduled = false;

	/**
	 * @param leadership - The leader row that the takeover wrote.
	 * @param deps - Dependencies.
	 */
	constructor(leadership: Leadership, deps: PoolLeaderDependencies) {
		this.#deps = deps;
		this.#leadership = leadership;
		this.#lastReadAtMs = deps.clock.monotonicMs();
		this.#tombstones = new TombstoneSweeper(deps);
		this.#permit = new LeadershipPermit(deps.clock.monotonicMs(), deps.limits.deposedLeaderGraceMs);
		this.core = new PoolCore(deps.clock, deps.limits, createDecisionLog(leadership.row.epoch, deps.logger, deps.metrics), durationMs => {
			deps.metrics.observe('round', durationMs);
		});
		this.#agentLinks = new AgentLinks({
			core: this.core,
			clock: deps.clock,
			epoch: this.epoch,
			logger: deps.logger,
			guard: deps.guard,
			mayRenewLeases: () => this.#permit.mayRenewLeases(deps.clock.monotonicMs()),
			onUpdate: () => {
				this.#scheduleTick();
			},
			onLeadershipLost: (reason, knownEpoch) => {
				this.#stepDown(reason, knownEpoch);
			},
		});
		this.#commitLoop = new CommitLoop(leadership, {
			store: deps.store,
			core: this.core,
			clock: deps.clock,
			logger: deps.logger,
			metrics: deps.metrics,
			onLeadershipLost: reason => {
				this.#stepDown(reason);
			},
			onCommit: () => {
				this.#scheduleTick();
			},
			onConfirmed: sentAtMs => {
				this.#permit.recordConfirmation(sentAtMs);
			},
		});
	}

	/** Epoch of this leader. */
	get epoch(): number {
		return this.#leadership.row.epoch;
	}

	/** Whether it has read the stored state and its commits succeed. */
	get isLeading(): boolean {
		return !this.#isStopped && this.#isRecovered && this.#commitLoop.failingMs < MAX_COMMIT_FAILURE_MS;
	}

	/** Whether it knows the stored state of all jobs, also while its commits fail. */
	get canAnswer(): boolean {
		return !this.#isStopped && this.#isRecovered && this.#permit.mayOrder(this.#deps.clock.monotonicMs());
	}

	/** Whether it is still reading the stored state, and the store answers. */
	get isRecovering(): boolean {
		return !this.#isStopped && !this.#isRecovered && this.#deps.clock.monotonicMs() - this.#lastReadAtMs < MAX_READ_FAILURE_MS;
	}

	/**
	 * @param spanMs - Time before now.
	 * @returns Whether it has read the stored state, and was shown within this time to lead.
	 */
	wasConfirmedWithin(spanMs: number): boolean {
		return !this.#isStopped && this.#isRecovered && this.#permit.wasConfirmedWithin(spanMs, this.#deps.clock.monotonicMs());
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.core.setConfig(config);
		this.#scheduleTick();
	}

	/**
	 * Records a call of another entry.
	 *
	 * @param knownEpoch - Highest epoch that the entry knows.
	 */
	recordPeerCall(knownEpoch: number): void {
		if (knownEpoch > this.epoch) {
			this.#stepDown(`another entry knows epoch ${knownEpoch}`, knownEpoch);
			return;
		}

		this.#permit.recordPeerCall(this.#deps.clock.monotonicMs());
	}

	/**
	 * Starts watching an agent that has announced itself.
	 *
	 * @param name - Name of the agent.
	 * @param address - Its address.
	 */
	onAnnounced(name: string, address: string): void {
		this.#agentLinks.onAnnounced(name, address);
	}

	/**
	 * Applies a job or cancellation that an entry has stored, before the change feed delivers it.
	 *
	 * @param jobId - The job.
	 * @param row - Its row if it was accepted; undefined for a cancellation.
	 */
	onStored(jobId: string, row: JobRow | undefined): void {
		if (!this.#isRecovered) {
			// Recovery reads this row, or the feed delivers it.
			return;
		}

		if (row) {
			this.core.onJobStored(jobId, row);
		} else {
			this.core.onCancellationStored(jobId);
		}

		this.#scheduleTick();
	}

	/** Reads the stored state, then follows the store's change feed until stopped. An unexpected error ends the leadership. */
	async run(): Promise<void> {
		try {
			await this.#lead();
		} catch (error) {
			this.#deps.guard.record('leader', error, {epoch: this.epoch});
			this.#stepDown('unexpected error');
		}
	}

	/** Stops leading and clears the leader row, so that a standby can take over at once. */
	async resign(): Promise<void> {
		this.#stop();
		await this.#commitLoop.resign();
	}

	async #lead(): Promise<void> {
		const evacuationsRead = this.#deps.evacuations?.readWhile(() => !this.#isStopped);
		let jobs = await this.#readTable(TABLES.jobs);
		const runs = await this.#readTable(TABLES.runs);
		const incarnations = await this.#readTable(TABLES.lives);
		const members = await this.#readTable(TABLES.members);
		await evacuationsRead;
		this.#deps.evacuations?.applyTo(this.core);
		if (this.#isStopped) {
			return;
		}

		this.core.recover({jobs: jobs.rows.filter(row => !this.#tombstones.onRow(row)), runs: runs.rows, incarnations: incarnations.rows});
		this.#isRecovered = true;
		void this.#deps.guard.supervise('worker speeds', async () => {
			const speeds = await this.#readTable(TABLES.speeds);
			this.core.restoreSpeeds(speeds.rows);
		});
		this.#agentLinks.start(this.#readMembers(members.rows));
		void this.#deps.guard.supervise('tick loop', async () => this.#tickLoop());
		let {version} = jobs;
		while (!this.#isStopped) {
			const page = await this.#deps.store.follow(TABLES.jobs, version, FEED_WAIT_MS);
			if (page.ok) {
				version = Math.max(version, page.value.version);
				this.#onJobRows(page.value.rows);
			} else if (page.error.kind === 'history_lost') {
				jobs = await this.#readTable(TABLES.jobs);
				version = jobs.version;
				this.#onJobRows(jobs.rows);
			} else {
				await sleep(RETRY_DELAY_MS);
			}
		}
	}

	#stepDown(reason: string, knownEpoch?: number): void {
		if (!this.#isStopped) {
			this.#deps.logger.warn('leadership lost', {epoch: this.epoch, reason});
			this.#stop();
			this.#deps.onLeadershipLost(reason, knownEpoch);
		}
	}

	#stop(): void {
		this.#isStopped = true;
		this.#commitLoop.stop();
		this.#agentLinks.stop();
	}

	async #readTable(table: string): Promise<TableRows> {
		return readWholeTable(this.#deps.store, table, {
			isStopped: () => this.#isStopped,
			onPage: () => {
				this.#lastReadAtMs = this.#deps.clock.monotonicMs();
			},
		});
	}

	/** Applies rows of the jobs table. Tombstones are not jobs; the feed may deliver a job in place of one. */
	#onJobRows(rows: readonly StoredRow[]): void {
		for (const row of rows) {
			const {jobId, isCancellation} = parseJobKey(row.key);
			if (this.#tombstones.onRow(row) || row.isRemoved) {
				continue;
			}

			if (isCancellation) {
				this.core.onCancellationStored(jobId);
				continue;
			}

			const job = decodeJobRow(row.value);
			if (job) {
				this.core.onJobStored(jobId, job);
			} else {
				this.#recordUnreadableRow(row);
			}
		}

		this.#scheduleTick();
	}

	#readMembers(rows: readonly StoredRow[]): ReadonlyMap<string, string> {
		const addresses = new Map<string, string>();
		for (const row of rows) {
			const member = decodeMemberRow(row.value);
			if (member) {
				addresses.set(row.key, member.address);
			} else {
				this.#recordUnreadableRow(row);
			}
		}

		return addresses;
	}

	#recordUnreadableRow(row: StoredRow): void {
		this.#deps.logger.error(POOL_EVENTS.rowUnreadable, {table: row.table, key: row.key, rowVersion: row.version});
		this.#deps.metrics.count('unreadable_rows', {table: row.table});
	}

	async #tickLoop(): Promise<void> {
		while (!this.#isStopped) {
			this.#tick();
			this.#agentLinks.forgetSilent();
			void this.#tombstones.sweep();
			this.#updateGauges();
			await sleep(TICK_INTERVAL_MS);
		}
	}

	#updateGauges(): void {
		const nowMs = this.#deps.clock.monotonicMs();
		if (nowMs < this.#gaugesDueMs) {
			return;
		}

		this.#gaugesDueMs = nowMs + GAUGE_INTERVAL_MS;
		for (const [name, value] of Object.entries(this.core.gauges())) {
			this.#deps.metrics.set(name, value);
		}
	}

	/** Schedules one tick of the core for all updates of the current turn of the event loop. */
	#scheduleTick(): void {
		if (this.#isTickScheduled || this.#isStopped || !this.#isRecovered) {
			return;
		}

		this.#isTickScheduled = true;
		setImmediate(() => {
			this.#isTickScheduled = false;
			try {
				this.#tick();
			} catch (error) {
				this.#deps.guard.record('tick', error, {epoch: this.epoch});
			}
		});
	}

	#tick(): void {
		if (this.#isStopped || !this.#isRecovered) {
			return;
		}

		const startedAtMs = this.#deps.clock.monotonicMs();
		const pausedMs = this.#permit.recordTick(startedAtMs);
		if (pausedMs !== undefined) {
			this.#deps.logger.warn('process was paused', {epoch: this.epoch, pausedMs: Math.round(pausedMs)});
		}

		this.core.tick();
		this.#deps.metrics.observe('tick', this.#deps.clock.monotonicMs() - startedAtMs);
		if (this.core.isFenced) {
			this.#stepDown('a worker knows a higher epoch');
			return;
		}

		if (this.#permit.takeConfirmationRequest(startedAtMs)) {
			this.#commitLoop.requestConfirmation();
		}

		void this.#commitLoop.flush();
		if (!this.#permit.mayOrder(this.#deps.clock.monotonicMs())) {
			// Orders stay queued until the store or another entry shows that this process still leads.
			return;
		}

		for (const outgoing of this.core.takeOrders()) {
			const link = this.#agentLinks.linkOf(outgoing.agent);
			if (link) {
				void link.order(outgoing);
			} else {
				this.core.onOrderOutcome(outgoing.incarnation, outgoing.order, {kind: 'unknown', message: 'no link to the agent'}, 0);
			}
		}
	}
}
