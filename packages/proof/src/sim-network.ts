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

/** Delivers datagrams between named hosts, with loss, duplication, reordering and partitions. */
export class SimNetwork {
	faults = HEALTHY_NETWORK;
	readonly #time: VirtualTime;
	readonly #random: RandomSource;
	readonly #receivers = new Map<string, (message: unknown, from: Address) => void>();
	readonly #partitions = new Set<string>();

	/**
	 * @param time - The virtual time.
	 * @param random - Source of faults and delays.
	 */
	constructor(time: VirtualTime, random: RandomSource) {
		this.#time = time;
		this.#random = random;
	}

	/**
	 * Registers the receiver of a host; the receiver of a new process replaces the previous one.
	 *
	 * @param host - The host.
	 * @param receive - Called with each message and its sender.
	 */
	setReceiver(host: string, receive: (message: unknown, from: Address) => void): void {
		this.#receivers.set(host, receive);
	}

	/** Drops all datagrams between two hosts. */
	partition(hostA: string, hostB: string): void {
		this.#partitions.add(linkKey(hostA, hostB));
	}

	/** Removes all partitions. */
	heal(): void {
		this.#partitions.clear();
	}

	/** Whether two hosts can reach each other. */
	isReachable(hostA: string, hostB: string): boolean {
		return !this.#partitions.has(linkKey(hostA, hostB));
	}

	/**
	 * Sends a datagram.
	 *
	 * @param from - The sender.
	 * @param toHost - The receiver's host.
	 * @param message - The message; the receiver gets a copy.
	 */
	send(from: Address, toHost: string, message: unknown): void {
		const copyCount = this.#random.chance(this.faults.duplicatePercent) ? 2 : 1;
		for (let copy = 0; copy < copyCount; copy++) {
			if (this.#random.chance(this.faults.lossPercent)) {
				continue;
			}

			const messageJson = JSON.stringify(message);
			this.#time.schedule(this.#random.integer(1, this.faults.maxDelayMs), () => {
				if (this.isReachable(from.host, toHost)) {
					this.#receivers.get(toHost)?.(JSON.parse(messageJson), from);
				}
			});
		}
	}
}

function linkKey(hostA: string, hostB: string): string {
	return hostA < hostB ? `${hostA}|${hostB}` : `${hostB}|${hostA}`;
}
