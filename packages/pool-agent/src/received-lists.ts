import type {WorkerLists} from '@amaranthsail/pool';

/** A worker's lists as the agent received them. */
export type ReceivedLists = WorkerLists & {readonly receivedAtMs: number; readonly ordersBefore: number};

/** @returns Text that changes when a run starts or ends; progress alone does not wake the waiting watches. */
export function fingerprintOf(lists: ReceivedLists): string {
	return `${lists.bornMs}/${lists.ordersBefore}/${lists.running.map(run => `${run.task}#${run.run}`).join(',')}/${lists.ended.map(end => end.sequence).join(',')}`;
}
