import {ANNOUNCEMENT_TIMEOUT_MS, type EndpointReport} from '@amaranthsail/core';
import type {Announcement} from './agent-event.js';

/** An endpoint that has not announced itself for this time is removed. Much longer than the restart of an endpoint. */
export const ENDPOINT_RETENTION_MS = 600_000;

type Endpoint = {
	readonly service: string;
	announcedAtMs: number;
	/** Monotonic time of the last announcement with `leaving` set. */
	leavingAtMs: number | undefined;
};

/** The endpoints that have announced themselves to this agent. */
export class EndpointRegistry {
	readonly #endpoints = new Map<string, Endpoint>();
	#lastReported = '[]';

	/**
	 * Records an announcement. Announcements may arrive out of order, so one without `leaving` takes effect only when
	 * the last one with `leaving` is older than the announcement timeout.
	 *
	 * @param announcement - The announcement.
	 * @param nowMs - Monotonic time of receipt.
	 */
	announce(announcement: Announcement, nowMs: number): void {
		const knownEndpoint = this.#endpoints.get(announcement.endpointId);
		const lastLeavingAtMs = knownEndpoint?.leavingAtMs;
		const isStillLeaving = lastLeavingAtMs !== undefined && nowMs - lastLeavingAtMs < ANNOUNCEMENT_TIMEOUT_MS;
		this.#endpoints.set(announcement.endpointId, {
			service: announcement.service,
			announcedAtMs: nowMs,
			leavingAtMs: announcement.leaving ? nowMs : (isStillLeaving ? lastLeavingAtMs : undefined),
		});
	}

	/**
	 * Returns the reason why an endpoint accepts no new task.
	 *
	 * @param endpointId - The endpoint.
	 * @param service - The service of the task.
	 * @param nowMs - Monotonic time.
	 * @returns A reason code, or undefined when the endpoint accepts the task.
	 */
	refusalReason(endpointId: string, service: string, nowMs: number): 'unknown_endpoint' | 'wrong_service' | 'endpoint_leaving' | undefined {
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
	 * Reports all endpoints and removes those that have not announced themselves for {@link ENDPOINT_RETENTION_MS}.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The endpoints, in the order of their first announcement.
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
	 * Returns whether the reports have changed since the last call of this method.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns True when the owner must be notified.
	 */
	consumeChange(nowMs: number): boolean {
		const current = JSON.stringify(this.reports(nowMs));
		const hasChanged = current !== this.#lastReported;
		this.#lastReported = current;
		return hasChanged;
	}

	/**
	 * Returns the next time at which an endpoint's announcement times out.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns Monotonic time, or infinity when none can time out.
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
