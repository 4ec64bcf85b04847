import type {RowValue} from '@amaranthsail/backing-services';
import type {SchedulerLoad} from '@amaranthsail/scheduler';

/** Address at which a process accepts connections or datagrams. */
export type Address = {readonly host: string; readonly port: number};

/** Load of a failure domain, used for routing. */
export type LoadSummary = SchedulerLoad;

/** The row `ownership/{failureDomain}`; its version changes only with a change of owner. */
export type OwnershipRow = {
	readonly ownerId: string;
	readonly epoch: number;
	/** Where the owner receives heartbeats. */
	readonly datagram: Address;
	/** Where the owner receives calls from other entries. */
	readonly control: Address;
	/** Whether the owner has released the failure domain and no longer sends anything. */
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

/** Identity and addresses of an owner, for callers and agents. */
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
 * Extracts the address of an owner from its row.
 *
 * @param row - The ownership row.
 * @returns The owner's identity, epoch and addresses.
 */
export function ownerAddressOf(row: OwnershipRow): OwnerAddress {
	const {ownerId, epoch, datagram, control} = row;
	return {
		ownerId, epoch, host: datagram.host, port: datagram.port, control,
	};
}

/**
 * Parses an ownership row.
 *
 * @param value - The value as stored.
 * @returns The row, or undefined when the value is not an ownership row.
 */
export function parseOwnershipRow(value: RowValue | undefined): OwnershipRow | undefined {
	return typeof value?.ownerId === 'string' && typeof value.epoch === 'number' && typeof value.datagram === 'object'
		? value as OwnershipRow
		: undefined;
}
