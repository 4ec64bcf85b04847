import {ANNOUNCEMENT_INTERVAL_MS, type Address, type EndpointReport} from '@amaranthsail/core';
import {HttpService} from '@amaranthsail/backing-services/http-service.js';

/** Longest wait for the response to an announcement; shorter than the interval, so that requests do not accumulate. */
const ANNOUNCEMENT_TIMEOUT_MS = 800;

/** Announces the endpoints of one VM to its agent at a fixed interval. */
export class EndpointAnnouncer {
	readonly #agent: HttpService;
	#endpoints: readonly EndpointReport[];
	#isSilent = false;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param agentAddress - The agent on the same VM.
	 * @param endpoints - The endpoints, as first announced.
	 */
	constructor(agentAddress: Address, endpoints: readonly EndpointReport[]) {
		this.#agent = new HttpService({address: agentAddress, timeoutMs: ANNOUNCEMENT_TIMEOUT_MS});
		this.#endpoints = endpoints;
	}

	/** The endpoints, as currently announced. */
	get endpoints(): readonly EndpointReport[] {
		return this.#endpoints;
	}

	/** Announces the endpoints at once and then at every interval. */
	start(): void {
		this.#timer ??= setInterval(() => {
			void this.announce();
		}, ANNOUNCEMENT_INTERVAL_MS);
		void this.announce();
	}

	/**
	 * Changes the announcements and sends one at once, unless announcements are stopped.
	 *
	 * @param change - `leaving`: whether the endpoints announce that they are leaving; `silent`: whether announcements are stopped.
	 */
	async change(change: {readonly leaving?: boolean; readonly silent?: boolean}): Promise<void> {
		const {leaving} = change;
		this.#isSilent = change.silent ?? this.#isSilent;
		if (leaving !== undefined) {
			this.#endpoints = this.#endpoints.map(endpoint => ({...endpoint, leaving}));
		}

		await this.announce();
	}

	/** Sends one announcement for each endpoint, without retries: the next interval sends another one. */
	async announce(): Promise<void> {
		if (this.#isSilent) {
			return;
		}

		await Promise.all(this.#endpoints.map(async endpoint => this.#agent.call({
			method: 'POST', path: '/v1/announcements', contentType: 'application/json', body: JSON.stringify(endpoint),
		})));
	}

	/** Stops the announcements and closes the connection. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
		await this.#agent.close();
	}
}
