import {
	asFields, JsonClient, type Clock, type Logger,
} from '@amaranthsail/core';
import {
	decodeLeaderRow, isEpoch, type LeaderRow, LEADER_KEY, type PoolStore, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import type {Leadership} from './commit-loop.js';
import {type HelloAnswer, type HelloRequest, PEER_PATHS} from './peer-messages.js';
import {decodeHelloAnswer} from './peer-message-decoding.js';
import {TakeoverDelay} from './takeover-delay.js';

/** Delay between two calls of a deputy to the leader, or of any entry to a leader that has not answered. */
const HELLO_INTERVAL_MS = 300;

/** Delay between two calls of any other entry; the counts of waiting jobs in the answers may be 2 s old. */
const RELAXED_HELLO_INTERVAL_MS = 900;

/** Deputies take over first; the other entries wait this much longer for an answer of the leader. */
const RELAXED_TIMEOUT_EXTENSION_MS = RELAXED_HELLO_INTERVAL_MS + 300;

/** A leader in the same region answers within a few milliseconds. */
const HELLO_TIMEOUT_MS = 450;

/** A standby takes over when the leader has not answered for this time: three missed calls. */
const LEADER_TIMEOUT_MS = 1000;

const STORE_TIMEOUT_MS = 900;

/** Dependencies of {@link LeaderFollower}. */
export type LeaderFollowerDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Identifies this incarnation of the process in the leader row. */
	readonly holder: string;
	/** Address of this process's API. */
	readonly address: string;
	/** Processor capacity of this VM. */
	readonly cores: number;
	/** Whether this process leads or is recovering the stored state in order to lead. */
	readonly isLeading: () => boolean;
	/** Whether this process may take over. */
	readonly canLead: () => boolean;
	readonly hello: () => HelloRequest;
	readonly onHello: (answer: HelloAnswer, address: string) => void;
	/** Called when this process has become the leader. */
	readonly onTakeover: (leadership: Leadership) => void;
};

type KnownLeaderRow = {readonly row: LeaderRow; readonly version: number};

/** Monitors the leader and takes over when it fails. */
export class LeaderFollower {
	readonly #deps: LeaderFollowerDependencies;
	#knownRow: KnownLeaderRow | undefined;
	/** Version of the leader row while it cannot be read. */
	#unreadableVersion: number | undefined;
	#highestEpoch = 0;
	#client: JsonClient | undefined;
	#lastLeaderAnswerAtMs: number;
	readonly #takeoverDelay: TakeoverDelay;
	/** Whether this entry monitors the leader closely; until a leader has answered, every entry does. */
	#isDeputy = true;
	#hasMissedAnswer = false;
	#isStopped = false;

	/** @param deps - Dependencies. */
	constructor(deps: LeaderFollowerDependencies) {
		this.#deps = deps;
		this.#lastLeaderAnswerAtMs = deps.clock.monotonicMs();
		this.#takeoverDelay = new TakeoverDelay(deps.cores);
	}

	/** Highest known epoch; 0 before the first. */
	get epoch(): number {
		return this.#highestEpoch;
	}

	/** Address in the known leader row; undefined when there is no leader. */
	get leaderAddress(): string | undefined {
		return this.#knownRow && this.#knownRow.row.holder !== '' ? this.#knownRow.row.address : undefined;
	}

	/** Milliseconds since the leader last answered, or since a new leader row was read. */
	get leaderSilentMs(): number {
		return this.#deps.clock.monotonicMs() - this.#lastLeaderAnswerAtMs;
	}

	/** Monitors the leader until {@link LeaderFollower.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			if (!this.#deps.isLeading()) {
				await this.#checkLeader();
			}

			await sleep(this.#isDeputy || this.#hasMissedAnswer ? HELLO_INTERVAL_MS : RELAXED_HELLO_INTERVAL_MS);
		}
	}

	/** @param epoch - An epoch that another process knows; the next takeover of this one gets a higher one. */
	recordEpoch(epoch: number): void {
		this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
	}

	/** Stops {@link LeaderFollower.run}. */
	stop(): void {
		this.#isStopped = true;
	}

	async #checkLeader(): Promise<void> {
		if (!this.#knownRow) {
			await this.#readLeaderRow();
		}

		const known = this.#knownRow;
		const answer = await this.#callLeader();
		this.#hasMissedAnswer = answer !== 'leading';
		if (answer === 'leading') {
			this.#lastLeaderAnswerAtMs = this.#deps.clock.monotonicMs();
			return;
		}

		if (answer === 'silent' && this.leaderSilentMs < LEADER_TIMEOUT_MS + (this.#isDeputy ? 0 : RELAXED_TIMEOUT_EXTENSION_MS)) {
			return;
		}

		if (!this.#deps.canLead() || this.#isStopped) {
			return;
		}

		await sleep(this.#takeoverDelay.nextMs(Math.random()));
		if (!await this.#readLeaderRow() || this.#hasOtherLeader(known)) {
			return;
		}

		await this.#takeOver(answer);
	}

	#hasOtherLeader(previous: KnownLeaderRow | undefined): boolean {
		// The leader rewrites its row with every commit, so only another holder or epoch counts, or a first row.
		const present = this.#knownRow?.row;
		return present !== undefined && present.holder !== '' && (previous?.row.holder !== present.holder || previous.row.epoch !== present.epoch);
	}

	async #callLeader(): Promise<'leading' | 'silent' | 'not leading'> {
		const address = this.leaderAddress;
		if (address === undefined || this.#knownRow?.row.holder === this.#deps.holder || address === this.#deps.address) {
			return 'not leading';
		}

		if (this.#client?.address !== address) {
			this.#client?.close();
			this.#client = new JsonClient(address, 2);
		}

		const answer = await this.#client.call({method: 'POST', path: PEER_PATHS.hello, body: this.#deps.hello(), timeoutMs: HELLO_TIMEOUT_MS});
		if (!answer.ok) {
			return answer.error.kind === 'not_sent' && answer.error.isRefused ? 'not leading' : 'silent';
		}

		const body = answer.value.status === 200 ? decodeHelloAnswer(answer.value.body) : undefined;
		if (!body) {
			return 'silent';
		}

		if (body.isLeading) {
			this.#isDeputy = body.isDeputy;
			this.#takeoverDelay.recordLargest(body.largestCores);
		}

		this.#deps.onHello(body, address);
		return body.isLeading ? 'leading' : 'not leading';
	}

	async #readLeaderRow(): Promise<boolean> {
		const page = await this.#deps.store.read(TABLES.leader, {from: LEADER_KEY}, STORE_TIMEOUT_MS);
		if (!page.ok) {
			return false;
		}

		this.#recordRow(page.value.rows.find(row => row.key === LEADER_KEY));
		return true;
	}

	#recordRow(row: StoredRow | undefined): void {
		const value = decodeLeaderRow(row?.value);
		if (!row) {
			return;
		}

		if (!value) {
			this.#recordUnreadableRow(row);
			return;
		}

		if (value.holder !== this.#knownRow?.row.holder || value.epoch !== this.#knownRow.row.epoch) {
			this.#deps.logger.info('leader known', {holder: value.holder, epoch: value.epoch, address: value.address, rowVersion: row.version});
			this.#lastLeaderAnswerAtMs = this.#deps.clock.monotonicMs();
		}

		this.#knownRow = {row: value, version: row.version};
		this.#unreadableVersion = undefined;
		this.recordEpoch(value.epoch);
	}

	/**
	 * A row that cannot be read names no leader; the next takeover replaces it. If its epoch cannot be read either, agents
	 * and workers may know a higher one than this process, but epochs count takeovers, so the time in seconds is above it.
	 */
	#recordUnreadableRow({value, version, isRemoved}: StoredRow): void {
		if (this.#unreadableVersion !== version && !isRemoved) {
			this.#deps.logger.error('leader row unreadable', {rowVersion: version});
			const {epoch} = asFields(value);
			this.recordEpoch(isEpoch(epoch) ? epoch : Math.floor(this.#deps.clock.wallMs() / 1000));
		}

		this.#knownRow = undefined;
		this.#unreadableVersion = version;
	}

	async #takeOver(reason: string): Promise<void> {
		const row: LeaderRow = {holder: this.#deps.holder, address: this.#deps.address, epoch: this.epoch + 1, commit: 0};
		const taken = await this.#deps.store.transact(
			[{table: TABLES.leader, key: LEADER_KEY, version: this.#knownRow?.version ?? this.#unreadableVersion ?? 0}],
			[{table: TABLES.leader, key: LEADER_KEY, value: row}],
			STORE_TIMEOUT_MS,
		);
		this.#deps.logger.info('takeover', {
			epoch: row.epoch, reason, leaderSilentMs: Math.round(this.leaderSilentMs), previous: this.#knownRow?.row.holder ?? 'none', outcome: taken.ok ? 'leading' : taken.error.kind,
		});
		if (taken.ok) {
			this.#knownRow = {row, version: taken.value.version};
			this.#unreadableVersion = undefined;
			this.recordEpoch(row.epoch);
			this.#deps.onTakeover(this.#knownRow);
		} else if (taken.error.kind === 'condition_failed') {
			this.#recordRow(taken.error.rows.find(present => present.key === LEADER_KEY));
		} else {
			// The write may have taken effect; the next takeover then replaces the row with a higher epoch.
			this.#knownRow = undefined;
			this.#unreadableVersion = undefined;
		}
	}
}
