import type {Clock, Logger} from '@amaranthsail/core';
import {
	type JobRow, parseJobKey, PoolCore, type MemberRow, type PoolConfig, type PoolLimits, type PoolStore, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {AgentLink} from './agent-link.js';
import {CommitLoop, type Leadership} from './commit-loop.js';

/** Longest time between two ticks of the core. */
const TICK_INTERVAL_MS = 100;

/** Longest wait of a feed call; also how soon a silent connection shows. */
const FOLLOW_WAIT_MS = 700;

const RETRY_MS = 100;

const READ_TIMEOUT_MS = 2000;

/** A leader whose commits fail for this long lets a standby take over. */
const GIVE_WAY_AFTER_MS = 700;

/** What a leader works with. */
export type PoolLeaderDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly limits: PoolLimits;
	/** Called once when another process leads or has to. */
	readonly onDeposed: (reason: string) => void;
};

/** Leads the pool: runs the core on the store, the agents and time. */
export class PoolLeader {
	readonly core: PoolCore;
	readonly #deps: PoolLeaderDependencies;
	readonly #leadership: Leadership;
	readonly #commits: CommitLoop;
	readonly #links = new Map<string, AgentLink>();
	/** Agents that announced themselves while the stored state was being read. */
	readonly #announced = new Map<string, string>();
	#storeOkAtMs: number;
	#peerOkAtMs: number;
	#isStopped = false;
	#isRecovered = false;
	#isTickDue = false;

	/**
	 * @param leadership - The row as the takeover wrote it.
	 * @param deps - What the leader works with.
	 */
	constructor(leadership: Leadership, deps: PoolLeaderDependencies) {
		this.#deps = deps;
		this.#leadership = leadership;
		this.#storeOkAtMs = deps.clock.monotonicMs();
		this.#peerOkAtMs = this.#storeOkAtMs;
		this.core = new PoolCore(deps.clock, deps.limits, (event, fields) => {
			deps.logger.info(event, {epoch: leadership.row.epoch, ...fields});
			deps.metrics.count('decisions', {event: event.replaceAll(' ', '_')});
		});
		this.#commits = new CommitLoop(leadership, {
			store: deps.store,
			core: this.core,
			clock: deps.clock,
			logger: deps.logger,
			metrics: deps.metrics,
			onDeposed: reason => {
				this.#depose(reason);
			},
			onProgress: () => {
				this.#storeOkAtMs = deps.clock.monotonicMs();
				this.#progress();
			},
		});
	}

	/** Epoch of this leader. */
	get epoch(): number {
		return this.#leadership.row.epoch;
	}

	/** Whether it knows the stored state and can write. */
	get isLeading(): boolean {
		return !this.#isStopped && this.#isRecovered && this.#commits.failingMs < GIVE_WAY_AFTER_MS;
	}

	/** Whether it is still reading the stored state. */
	get isRecovering(): boolean {
		return !this.#isStopped && !this.#isRecovered;
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.core.setConfig(config);
		this.#progress();
	}

	/** Records that another entry has called. */
	notePeer(): void {
		this.#peerOkAtMs = this.#deps.clock.monotonicMs();
	}

	/**
	 * Starts watching an agent.
	 *
	 * @param name - Name of the agent.
	 * @param address - Its address.
	 */
	addAgent(name: string, address: string): void {
		if (!this.#isRecovered) {
			this.#announced.set(name, address);
			return;
		}

		const known = this.#links.get(name);
		if (known?.address === address || this.#isStopped) {
			return;
		}

		known?.stop();
		const link = new AgentLink(name, address, {
			core: this.core,
			epoch: this.epoch,
			logger: this.#deps.logger,
			mayExtendLeases: () => !this.#isIsolated(),
			onProgress: () => {
				this.#progress();
			},
			onDeposed: reason => {
				this.#depose(reason);
			},
		});
		this.#links.set(name, link);
		void link.run();
	}

	/**
	 * Takes what an entry has stored, ahead of the feed.
	 *
	 * @param jobId - The job.
	 * @param row - Its row, if it was accepted.
	 */
	onStored(jobId: string, row: JobRow | undefined): void {
		if (!this.#isRecovered) {
			// The rows that recovery reads include it, or the feed brings it.
			return;
		}

		if (row) {
			this.core.onJobStored(jobId, row);
		} else {
			this.core.onCancelStored(jobId);
		}

		this.#progress();
	}

	/** Reads the stored state, then follows the store until stopped. */
	async run(): Promise<void> {
		let jobs = await this.#readTable(TABLES.jobs);
		const runs = await this.#readTable(TABLES.runs);
		const lives = await this.#readTable(TABLES.lives);
		const members = await this.#readTable(TABLES.members);
		if (this.#isStopped) {
			return;
		}

		this.core.recover({jobs: jobs.rows, runs: runs.rows, lives: lives.rows});
		this.#isRecovered = true;
		for (const member of members.rows) {
			this.#announced.set(member.key, this.#announced.get(member.key) ?? (member.value as MemberRow).address);
		}

		for (const [name, address] of this.#announced) {
			this.addAgent(name, address);
		}

		void this.#tickLoop();
		let {version} = jobs;
		while (!this.#isStopped) {
			const page = await this.#deps.store.follow(TABLES.jobs, version, FOLLOW_WAIT_MS);
			if (page.ok) {
				this.#storeOkAtMs = this.#deps.clock.monotonicMs();
				version = Math.max(version, page.value.version);
				this.#onJobRows(page.value.rows);
			} else if (page.error.kind === 'history_lost') {
				jobs = await this.#readTable(TABLES.jobs);
				version = jobs.version;
				this.#onJobRows(jobs.rows);
			} else {
				await sleep(RETRY_MS);
			}
		}
	}

	/** Stops leading and lets a standby take over at once. */
	async resign(): Promise<void> {
		this.#stop();
		await this.#commits.resign();
	}

	#depose(reason: string): void {
		if (!this.#isStopped) {
			this.#deps.logger.warn('leadership lost', {epoch: this.epoch, reason});
			this.#stop();
			this.#deps.onDeposed(reason);
		}
	}

	#stop(): void {
		this.#isStopped = true;
		this.#commits.stop();
		for (const link of this.#links.values()) {
			link.stop();
		}
	}

	/** A leader that reaches neither the store nor another entry may have been replaced. */
	#isIsolated(): boolean {
		const sinceMs = this.#deps.clock.monotonicMs() - this.#deps.limits.deposedLeaderMs;
		return this.#storeOkAtMs < sinceMs && this.#peerOkAtMs < sinceMs;
	}

	async #readTable(table: string): Promise<{rows: readonly StoredRow[]; version: number}> {
		const rows: StoredRow[] = [];
		let version: number | undefined;
		let from: string | undefined;
		while (!this.#isStopped) {
			const page = await this.#deps.store.read(table, from === undefined ? {} : {from}, READ_TIMEOUT_MS);
			if (!page.ok) {
				await sleep(RETRY_MS);
				continue;
			}

			// Changes made between two pages come by the feed, which starts at the version of the first.
			version ??= page.value.version;
			rows.push(...page.value.rows);
			if (!page.value.hasMore) {
				break;
			}

			from = `${rows.at(-1)!.key}\0`;
		}

		return {rows, version: version ?? 0};
	}

	#onJobRows(rows: readonly StoredRow[]): void {
		for (const row of rows) {
			const {jobId, isCancel} = parseJobKey(row.key);
			if (row.isRemoved || row.value === undefined) {
				continue;
			}

			if (isCancel) {
				this.core.onCancelStored(jobId);
			} else {
				this.core.onJobStored(jobId, row.value as JobRow);
			}
		}

		this.#progress();
	}

	async #tickLoop(): Promise<void> {
		while (!this.#isStopped) {
			this.#tick();
			await sleep(TICK_INTERVAL_MS);
		}
	}

	/** Lets the core decide soon; several pieces of news are decided on together. */
	#progress(): void {
		if (this.#isTickDue || this.#isStopped || !this.#isRecovered) {
			return;
		}

		this.#isTickDue = true;
		setImmediate(() => {
			this.#isTickDue = false;
			this.#tick();
		});
	}

	#tick(): void {
		if (this.#isStopped || !this.#isRecovered) {
			return;
		}

		const startedAtMs = this.#deps.clock.monotonicMs();
		this.core.tick();
		this.#deps.metrics.observe('tick', this.#deps.clock.monotonicMs() - startedAtMs);
		if (this.core.isFenced) {
			this.#depose('a worker knows a higher epoch');
			return;
		}

		void this.#commits.drain();
		for (const effect of this.core.takeOrders()) {
			const link = this.#links.get(effect.agent);
			if (link) {
				void link.order(effect);
			} else {
				this.core.onOrderOutcome(effect.life, effect.order, {kind: 'unknown', message: 'no link to the agent'}, 0);
			}
		}
	}
}
