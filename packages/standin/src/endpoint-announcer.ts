import {ANNOUNCEMENT_INTERVAL_MS, type Address, type EndpointReport} from '@amaranthsail/core';
import {HttpService} from '@amaranthsail/backing-services/http-service.js';

/** Time for one announcement; shorter than the interval, so that announcements do not pile up. */
const ANNOUNCEMENT_TIMEOUT_MS = 800;

/** Announces the endpoints of one VM to its agent. */
export class EndpointAnnouncer {
	readonly #service: HttpService;
	#endpoints: readonly EndpointReport[];
	#silent = false;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param agentAddress - The agent on the same VM.
	 * @param endpoints - The endpoints at the start.
	 */
	constructor(agentAddress: Address, endpoints: readonly EndpointReport[]) {
		this.#service = new HttpService({address: agentAddress, timeoutMs: ANNOUNCEMENT_TIMEOUT_MS});
		this.#endpoints = endpoints;
	}

	/** The endpoints as they announce themselves. */
	get endpoints(): readonly EndpointReport[] {
		return this.#endpoints;
	}

	/** Announces now and then at every interval. */
	start(): void {
		this.#timer ??= setInterval(() => {
			void this.announce();
		}, ANNOUNCEMENT_INTERVAL_MS);
		void this.announce();
	}

	/**
	 * Changes what is announced, and announces it unless silent.
	 *
	 * @param change - Whether the endpoints are leaving, and whether they stop announcing themselves without a word.
	 */
	async change(change: {readonly leaving?: boolean; readonly silent?: boolean}): Promise<void> {
		const {leaving} = change;
		this.#silent = change.silent ?? this.#silent;
		if (leaving !== undefined) {
			this.#endpoints = this.#endpoints.map(endpoint => ({...endpoint, leaving}));
		}

		await this.announce();
	}

	/** Sends one announcement for each endpoint; one that is not answered is left to the next interval. */
	async announce(): Promise<void> {
		if (this.#silent) {
			return;
		}

		await Promise.all(this.#endpoints.map(async endpoint => this.#service.call({
			method: 'POST', path: '/v1/announcements', contentType: 'application/json', body: JSON.stringify(endpoint),
		})));
	}

	/** Ends the announcements. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
		await this.#service.close();
	}
}
