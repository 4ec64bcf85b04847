import {ANNOUNCEMENT_TIMEOUT_MS, type EndpointReport} from '@amaranthsail/core';
import type {Announcement} from './agent-event.js';

/** An endpoint that has been silent for this long is no longer reported. Far longer than a restart of an endpoint. */
export const ENDPOINT_RETENTION_MS = 600_000;

type Endpoint = {
	readonly service: string;
	announcedAtMs: number;
	/** Time of the last announcement that said `leaving`. */
	leavingAtMs: number | undefined;
};

/** The endpoints that announce themselves to this agent. */
export class EndpointRegistry {
	readonly #endpoints = new Map<string, Endpoint>();
	#reported = '[]';

	/**
	 * Records an announcement. One that no longer says `leaving` is believed only when the last one that did
	 * is older than the announcement timeout, because announcements may arrive out of order.
	 *
	 * @param announcement - What the endpoint said.
	 * @param nowMs - Monotonic time of receipt.
	 */
	announce(announcement: Announcement, nowMs: number): void {
		const known = this.#endpoints.get(announcement.endpointId);
		const wasLeavingAtMs = known?.leavingAtMs;
		const staysLeaving = wasLeavingAtMs !== undefined && nowMs - wasLeavingAtMs < ANNOUNCEMENT_TIMEOUT_MS;
		this.#endpoints.set(announcement.endpointId, {
			service: announcement.service,
			announcedAtMs: nowMs,
			leavingAtMs: announcement.leaving ? nowMs : (staysLeaving ? wasLeavingAtMs : undefined),
		});
	}

	/**
	 * Tells why an endpoint takes no new work.
	 *
	 * @param endpointId - The endpoint.
	 * @param service - The service that the work belongs to.
	 * @param nowMs - Monotonic time.
	 * @returns A reason code, or undefined when the endpoint takes work.
	 */
	refusal(endpointId: string, service: string, nowMs: number): 'unknown_endpoint' | 'wrong_service' | 'endpoint_leaving' | undefined {
		const endpoint = this.#endpoints.get(endpointId);
		if (endpoint === undefined) {
			return 'unknown_endpoint';
		}

		if (endpoint.service !== service) {
			return 'wrong_service';
		}

		return isLeaving(endpoint, nowMs) ? 'endpoint_leaving' : undefined;
	}

	/**
	 * Reports all endpoints and drops those that have been silent for {@link ENDPOINT_RETENTION_MS}.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The endpoints in the order of their first announcement.
	 */
	reports(nowMs: number): readonly EndpointReport[] {
		const reports: EndpointReport[] = [];
		for (const [endpointId, endpoint] of this.#endpoints) {
			if (nowMs - endpoint.announcedAtMs >= ENDPOINT_RETENTION_MS) {
				this.#endpoints.delete(endpointId);
				continue;
			}

			reports.push({endpointId, service: endpoint.service, leaving: isLeaving(endpoint, nowMs)});
		}

		return reports;
	}

	/**
	 * Tells whether the reports differ from those of the last call of this method.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns True when the owner has to be told.
	 */
	takeChange(nowMs: number): boolean {
		const current = JSON.stringify(this.reports(nowMs));
		const changed = current !== this.#reported;
		this.#reported = current;
		return changed;
	}

	/**
	 * Names the next time at which an endpoint becomes silent.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns Monotonic time, or infinity.
	 */
	nextChangeAtMs(nowMs: number): number {
		let nextMs = Number.POSITIVE_INFINITY;
		for (const endpoint of this.#endpoints.values()) {
			if (!isLeaving(endpoint, nowMs)) {
				nextMs = Math.min(nextMs, endpoint.announcedAtMs + ANNOUNCEMENT_TIMEOUT_MS);
			}
		}

		return nextMs;
	}
}

function isLeaving(endpoint: Endpoint, nowMs: number): boolean {
	return endpoint.leavingAtMs !== undefined || nowMs - endpoint.announcedAtMs >= ANNOUNCEMENT_TIMEOUT_MS;
}
