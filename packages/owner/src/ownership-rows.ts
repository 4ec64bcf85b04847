import type {RowValue} from '@amaranthsail/backing-services';
import type {SchedulerLoad} from '@amaranthsail/scheduler';

/** Where a process takes connections or datagrams. */
export type Address = {readonly host: string; readonly port: number};

/** Load of a failure domain, for routing. */
export type LoadSummary = SchedulerLoad;

/** The row `ownership/{failureDomain}`; its version changes only with a change of owner. */
export type OwnershipRow = {
	readonly ownerId: string;
	readonly epoch: number;
	/** Where the owner takes heartbeats. */
	readonly datagram: Address;
	/** Where the owner takes calls of other entries. */
	readonly control: Address;
	/** The owner has given the failure domain up and sends nothing more. */
	readonly released: boolean;
	readonly writeId: string;
};

/** The row `owner_renewals/{failureDomain}`. */
export type RenewalRow = {
	readonly ownerId: string;
	readonly epoch: number;
	readonly sequence: number;
	readonly load: LoadSummary | undefined;
	/** Configuration revision that the owner has in force. */
	readonly revision: number;
	readonly writeId: string;
};

/** An owner as callers and agents need it. */
export type OwnerAddress = {
	readonly ownerId: string;
	readonly epoch: number;
	/** Host of the datagram address. */
	readonly host: string;
	/** Port of the datagram address. */
	readonly port: number;
	readonly control: Address;
};

/**
 * Gives the address of an owner from its row.
 *
 * @param row - The ownership row.
 * @returns Who owns the failure domain and where it is reached.
 */
export function ownerAddressOf(row: OwnershipRow): OwnerAddress {
	const {ownerId, epoch, datagram, control} = row;
	return {
		ownerId, epoch, host: datagram.host, port: datagram.port, control,
	};
}

/**
 * Reads an ownership row.
 *
 * @param value - The value as stored.
 * @returns The row, or undefined when it is not one.
 */
export function parseOwnershipRow(value: RowValue | undefined): OwnershipRow | undefined {
	return typeof value?.ownerId === 'string' && typeof value.epoch === 'number' && typeof value.datagram === 'object'
		? value as OwnershipRow
		: undefined;
}
