import {JsonClient, type Clock, type Logger} from '@amaranthsail/core';
import {
	type LeaderRow, LEADER_KEY, type PoolStore, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import type {Leadership} from './commit-loop.js';
import {type HelloAnswer, type HelloRequest, PEER_PATHS} from './peer-messages.js';

/** Pause between two calls to the leader. */
const HELLO_INTERVAL_MS = 300;

/** A leader in the same region answers within a few milliseconds. */
const HELLO_TIMEOUT_MS = 450;

/** Without an answer of the leader for this time, a standby takes over: three missed calls. */
const LEADER_SILENT_MS = 1000;

/** Spreads the standbys, so that one of them is usually first. */
const TAKEOVER_JITTER_MS = 200;

const STORE_TIMEOUT_MS = 900;

/** What following the leader takes. */
export type LeaderFollowerDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Identifies this process. */
	readonly holder: string;
	/** Address of this process's API. */
	readonly address: string;
	/** Whether this process leads already or is about to. */
	readonly isLeading: () => boolean;
	/** Whether this process could lead. */
	readonly canLead: () => boolean;
	readonly hello: () => HelloRequest;
	readonly onHello: (answer: HelloAnswer, address: string) => void;
	/** Called when this process has become the leader. */
	readonly onTakeover: (leadership: Leadership) => void;
};

type KnownRow = {readonly row: LeaderRow; readonly version: number};

/** Keeps track of the leader, and replaces one that is gone. */
export class LeaderFollower {
	readonly #deps: LeaderFollowerDependencies;
	#known: KnownRow | undefined;
	#client: JsonClient | undefined;
	#leaderOkAtMs: number;
	#isStopped = false;

	/** @param deps - What following takes. */
	constructor(deps: LeaderFollowerDependencies) {
		this.#deps = deps;
		this.#leaderOkAtMs = deps.clock.monotonicMs();
	}

	/** Highest epoch that is known. */
	get epoch(): number {
		return this.#known?.row.epoch ?? 0;
	}

	/** Address of the leader that answered last, or undefined. */
	get leaderAddress(): string | undefined {
		return this.#known && this.#known.row.holder !== '' ? this.#known.row.address : undefined;
	}

	/** Milliseconds since the leader answered. */
	get leaderSilentMs(): number {
		return this.#deps.clock.monotonicMs() - this.#leaderOkAtMs;
	}

	/** Follows until {@link LeaderFollower.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			if (!this.#deps.isLeading()) {
				await this.#round();
			}

			await sleep(HELLO_INTERVAL_MS);
		}
	}

	/** Ends {@link LeaderFollower.run}. */
	stop(): void {
		this.#isStopped = true;
	}

	async #round(): Promise<void> {
		if (!this.#known) {
			await this.#read();
		}

		const known = this.#known;
		const answer = await this.#callLeader();
		if (answer === 'leading') {
			this.#leaderOkAtMs = this.#deps.clock.monotonicMs();
			return;
		}

		if (answer === 'silent' && this.leaderSilentMs < LEADER_SILENT_MS) {
			return;
		}

		if (!this.#deps.canLead() || this.#isStopped) {
			return;
		}

		await sleep(Math.random() * TAKEOVER_JITTER_MS);
		if (!await this.#read() || this.#isChanged(known)) {
			return;
		}

		await this.#takeOver(answer);
	}

	#isChanged(previous: KnownRow | undefined): boolean {
		// The leader rewrites its row with every commit; only another holder is a change. A first row is one too.
		const present = this.#known?.row;
		return present !== undefined && present.holder !== '' && (previous?.row.holder !== present.holder || previous.row.epoch !== present.epoch);
	}

	async #callLeader(): Promise<'leading' | 'silent' | 'not leading'> {
		const address = this.leaderAddress;
		if (address === undefined || this.#known?.row.holder === this.#deps.holder || address === this.#deps.address) {
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

		const body = answer.value.body as HelloAnswer;
		if (answer.value.status !== 200) {
			return 'silent';
		}

		this.#deps.onHello(body, address);
		return body.isLeading ? 'leading' : 'not leading';
	}

	async #read(): Promise<boolean> {
		const page = await this.#deps.store.read(TABLES.leader, {from: LEADER_KEY}, STORE_TIMEOUT_MS);
		if (!page.ok) {
			return false;
		}

		this.#note(page.value.rows.find(row => row.key === LEADER_KEY));
		return true;
	}

	#note(row: StoredRow | undefined): void {
		const value = row?.value as LeaderRow | undefined;
		if (!row || !value) {
			return;
		}

		if (value.holder !== this.#known?.row.holder || value.epoch !== this.#known.row.epoch) {
			this.#deps.logger.info('leader known', {holder: value.holder, epoch: value.epoch, address: value.address, rowVersion: row.version});
			this.#leaderOkAtMs = this.#deps.clock.monotonicMs();
		}

		this.#known = {row: value, version: row.version};
	}

	async #takeOver(reason: string): Promise<void> {
		const row: LeaderRow = {holder: this.#deps.holder, address: this.#deps.address, epoch: this.epoch + 1, commit: 0};
		const taken = await this.#deps.store.transact(
			[{table: TABLES.leader, key: LEADER_KEY, version: this.#known?.version ?? 0}],
			[{table: TABLES.leader, key: LEADER_KEY, value: row}],
			STORE_TIMEOUT_MS,
		);
		this.#deps.logger.info('takeover', {
			epoch: row.epoch, reason, leaderSilentMs: Math.round(this.leaderSilentMs), previous: this.#known?.row.holder ?? 'none', outcome: taken.ok ? 'leading' : taken.error.kind,
		});
		if (taken.ok) {
			this.#known = {row, version: taken.value.version};
			this.#deps.onTakeover(this.#known);
		} else if (taken.error.kind === 'condition_failed') {
			this.#note(taken.error.rows.find(present => present.key === LEADER_KEY));
		} else {
			// The row may be this process's own now; the next takeover replaces it under a higher epoch.
			this.#known = undefined;
		}
	}
}
