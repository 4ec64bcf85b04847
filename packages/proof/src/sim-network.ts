import type {Address} from '@amaranthsail/core';
import type {RandomSource} from './random-source.js';
import type {VirtualTime} from './virtual-time.js';

/** Faults of the network between entries and agents. */
export type NetworkFaults = {
	readonly lossPercent: number;
	readonly duplicatePercent: number;
	readonly maxDelayMs: number;
};

/** A network without faults. */
export const HEALTHY_NETWORK: NetworkFaults = {lossPercent: 0, duplicatePercent: 0, maxDelayMs: 2};

/** Carries datagrams by host name, with loss, duplication, reordering and cuts. */
export class SimNetwork {
	faults = HEALTHY_NETWORK;
	readonly #time: VirtualTime;
	readonly #random: RandomSource;
	readonly #receivers = new Map<string, (message: unknown, from: Address) => void>();
	readonly #cuts = new Set<string>();

	/**
	 * @param time - The virtual time.
	 * @param random - Decides on faults and delays.
	 */
	constructor(time: VirtualTime, random: RandomSource) {
		this.#time = time;
		this.#random = random;
	}

	/**
	 * Sets who receives at a host; a new process takes the place of the old one.
	 *
	 * @param host - The host.
	 * @param receive - Takes the messages.
	 */
	listen(host: string, receive: (message: unknown, from: Address) => void): void {
		this.#receivers.set(host, receive);
	}

	/** Cuts two hosts off from one another. */
	cut(left: string, right: string): void {
		this.#cuts.add(linkOf(left, right));
	}

	/** Ends all cuts. */
	heal(): void {
		this.#cuts.clear();
	}

	/** Whether two hosts can reach one another. */
	isOpen(left: string, right: string): boolean {
		return !this.#cuts.has(linkOf(left, right));
	}

	/**
	 * Sends a datagram.
	 *
	 * @param from - The sender.
	 * @param toHost - The receiver's host.
	 * @param message - The message; it is copied.
	 */
	send(from: Address, toHost: string, message: unknown): void {
		const copies = this.#random.chance(this.faults.duplicatePercent) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (this.#random.chance(this.faults.lossPercent)) {
				continue;
			}

			const text = JSON.stringify(message);
			this.#time.after(this.#random.integer(1, this.faults.maxDelayMs), () => {
				if (this.isOpen(from.host, toHost)) {
					this.#receivers.get(toHost)?.(JSON.parse(text), from);
				}
			});
		}
	}
}

function linkOf(left: string, right: string): string {
	return left < right ? `${left}|${right}` : `${right}|${left}`;
}
