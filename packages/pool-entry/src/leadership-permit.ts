/** Gap between two ticks after which the process was paused long enough for another entry to have taken over. */
const MAX_TICK_GAP_MS = 900;

/** Other entries take over from a leader that has not answered them for 1 s. A leader that they call still leads. */
const PEER_SILENCE_MS = 900;

/** Interval between two confirmations while no other entry calls. */
const CONFIRMATION_INTERVAL_MS = 500;

/**
 * Whether the leader may still act on its leadership.
 *
 * The leader row fences everything that the leader stores, but orders to workers and renewals of leases take effect
 * without the store. After a pause of the process, or while no other entry calls, another leader may exist; the leader
 * then has to rewrite its row before it sends anything.
 */
export class LeadershipPermit {
	readonly #deposedLeaderGraceMs: number;
	/** Undefined before the first tick; reading the stored state after the takeover may take longer than a tick. */
	#lastTickAtMs: number | undefined;
	#lastPeerCallAtMs: number;
	#lastConfirmedAtMs: number;
	#confirmationRequestedAtMs = Number.NEGATIVE_INFINITY;
	/** End of the last pause of the process, until a confirmation has been requested and received after it. */
	#pausedUntilMs: number | undefined;

	/**
	 * @param nowMs - Time of the takeover.
	 * @param deposedLeaderGraceMs - Time for which a leader that another one has replaced may renew leases.
	 */
	constructor(nowMs: number, deposedLeaderGraceMs: number) {
		this.#deposedLeaderGraceMs = deposedLeaderGraceMs;
		this.#lastPeerCallAtMs = nowMs;
		this.#lastConfirmedAtMs = nowMs;
	}

	/**
	 * Notices pauses of the process; called at least every 100 ms, and before anything is sent.
	 *
	 * @param nowMs - Leader's clock.
	 * @returns Milliseconds for which the process was paused, or undefined if it was not.
	 */
	recordTick(nowMs: number): number | undefined {
		const gapMs = nowMs - (this.#lastTickAtMs ?? nowMs);
		this.#lastTickAtMs = nowMs;
		if (gapMs <= MAX_TICK_GAP_MS) {
			return undefined;
		}

		this.#pausedUntilMs = nowMs;
		return gapMs;
	}

	/** @param nowMs - Time of a call by another entry that knows no later leader. */
	recordPeerCall(nowMs: number): void {
		this.#lastPeerCallAtMs = nowMs;
	}

	/** @param sentAtMs - Time at which the store was asked; its answer showed that this process leads. */
	recordConfirmation(sentAtMs: number): void {
		this.#lastConfirmedAtMs = Math.max(this.#lastConfirmedAtMs, sentAtMs);
		if (this.#pausedUntilMs !== undefined && sentAtMs >= this.#pausedUntilMs) {
			this.#pausedUntilMs = undefined;
		}
	}

	/** @returns Whether orders may be sent. */
	mayOrder(nowMs: number): boolean {
		return this.wasConfirmedWithin(PEER_SILENCE_MS, nowMs);
	}

	/** @returns Whether leases may be renewed. */
	mayRenewLeases(nowMs: number): boolean {
		return this.wasConfirmedWithin(this.#deposedLeaderGraceMs, nowMs);
	}

	/** @returns Whether to ask the store now for a confirmation. */
	takeConfirmationRequest(nowMs: number): boolean {
		if (this.mayOrder(nowMs) || nowMs - this.#confirmationRequestedAtMs < CONFIRMATION_INTERVAL_MS) {
			return false;
		}

		this.#confirmationRequestedAtMs = nowMs;
		return true;
	}

	/**
	 * @param spanMs - Time before `nowMs`.
	 * @param nowMs - Leader's clock.
	 * @returns Whether the store or another entry has shown within this time that this process leads.
	 */
	wasConfirmedWithin(spanMs: number, nowMs: number): boolean {
		const isPauseUnnoticed = this.#lastTickAtMs !== undefined && nowMs - this.#lastTickAtMs > MAX_TICK_GAP_MS;
		return this.#pausedUntilMs === undefined && !isPauseUnnoticed
			&& nowMs - Math.max(this.#lastPeerCallAtMs, this.#lastConfirmedAtMs) < spanMs;
	}
}
