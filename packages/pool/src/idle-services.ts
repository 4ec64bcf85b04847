/** Remembers since when services have been half idle. */
export class IdleServices {
	readonly #sinceMs = new Map<string, number>();

	/**
	 * Records the present state of a service.
	 *
	 * @param service - The service.
	 * @param isHalfIdle - Whether less than half of it is in use.
	 * @param nowMs - Leader's clock.
	 */
	record(service: string, isHalfIdle: boolean, nowMs: number): void {
		if (!isHalfIdle) {
			this.#sinceMs.delete(service);
		} else if (!this.#sinceMs.has(service)) {
			this.#sinceMs.set(service, nowMs);
		}
	}

	/** Forgets all services. */
	clear(): void {
		this.#sinceMs.clear();
	}

	/** @returns Milliseconds for which the service has been half idle in all recorded states; 0 if it is not. */
	idleMsOf(service: string, nowMs: number): number {
		return nowMs - (this.#sinceMs.get(service) ?? nowMs);
	}
}
