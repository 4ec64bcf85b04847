import type {JobRow, Command, Heartbeat, HeartbeatAck} from '@amaranthsail/core';
import type {RowCondition, Transaction} from '@amaranthsail/backing-services';
import type {SchedulerConfig} from '@amaranthsail/scheduler';

/** Result of a durable transaction. */
export type WriteResult
	/** The new version of each written row, in the order of `writes`. */
	= | {readonly kind: 'committed'; readonly versions: readonly number[]}
		| {readonly kind: 'conditionFailed'; readonly failed: readonly RowCondition[]}
	/** Nothing was written. */
		| {readonly kind: 'unavailable'; readonly message: string}
	/** Outcome unknown: the transaction may have been written. */
		| {readonly kind: 'unknown'; readonly message: string};

/** Whether the owner may write and decide. Times are monotonic milliseconds of the owner. */
export type OwnershipValidity
	= | {readonly kind: 'valid'; readonly validUntilMs: number; readonly renewedAtMs: number}
		| {readonly kind: 'degraded'}
		| {readonly kind: 'lost'};

/** Inputs of an owner core. */
export type OwnerEvent
	= | {readonly kind: 'heartbeat'; readonly message: Heartbeat; readonly host: string}
	/** A row that was read after an acceptance, a scan or a `read` effect. */
		| {readonly kind: 'jobRow'; readonly row: JobRow; readonly version: number}
		| {readonly kind: 'jobAbsent'; readonly jobId: string}
		| {readonly kind: 'cancel'; readonly jobIds: readonly string[]}
	/** Requests the row once it is final, or with `isForCancellation` once the cancellation is durable. */
		| {readonly kind: 'wait'; readonly waiterId: string; readonly jobId: string; readonly expiresAtMs: number; readonly isForCancellation: boolean}
	/** Moves waiting jobs to another failure domain that can run them. */
		| {readonly kind: 'move'; readonly jobIds: readonly string[]; readonly failureDomain: string}
		| {readonly kind: 'configure'; readonly config: SchedulerConfig; readonly revision: number}
		| {readonly kind: 'writeResult'; readonly writeId: string; readonly result: WriteResult}
		| {readonly kind: 'recoveryComplete'}
	/** The previous owner has confirmed that it sends nothing more, or is proven to have ended. */
		| {readonly kind: 'previousOwnerGone'}
		| {readonly kind: 'ownership'; readonly validity: OwnershipValidity}
		| {readonly kind: 'drain'};

/** A measurement for the metrics sink. */
export type OwnerMetric = {
	readonly name: string;
	readonly valueMs?: number;
	readonly count?: number;
	readonly tags: Readonly<Record<string, string>>;
};

/** Outputs of an owner core, to be applied in order. */
export type OwnerEffect
	= | {readonly kind: 'send'; readonly message: HeartbeatAck | Command; readonly host: string; readonly port: number}
	/** Commit a transaction and return a `writeResult`; the same transaction may be emitted again. */
		| {readonly kind: 'write'; readonly transaction: Transaction}
	/** Read job rows and return `jobRow` or `jobAbsent` for each. */
		| {readonly kind: 'read'; readonly jobIds: readonly string[]}
		| {readonly kind: 'answer'; readonly waiterId: string; readonly row: JobRow | undefined}
		| {readonly kind: 'metric'; readonly metric: OwnerMetric}
	/** A write failed because another process owns the failure domain. */
		| {readonly kind: 'ownershipLost'};
