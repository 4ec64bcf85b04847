import type {AgentReport, WorkerLists} from '@amaranthsail/pool';

/** A worker's lists as the agent received them. */
export type ReceivedLists = WorkerLists & {
	readonly receivedAtMs: number;
	readonly ordersBefore: number;
	/** Number of polls that had been sent when they arrived. */
	readonly pollsBefore: number;
};

/** @returns Text that changes when a run starts or ends; progress alone does not wake the waiting watches. */
export function fingerprintOf(lists: ReceivedLists): string {
	return `${lists.bornMs}/${lists.ordersBefore}/${lists.running.map(run => `${run.task}#${run.run}`).join(',')}/${lists.ended.map(end => end.sequence).join(',')}`;
}

/** @returns The lists as they are reported to the leader, with their age. */
export function toReportedLists({clockMs, receivedAtMs, ordersBefore, running, ended}: ReceivedLists, nowMs: number): NonNullable<AgentReport['lists']> {
	return {
		clockMs, ageMs: Math.round(nowMs - receivedAtMs), ordersBefore, running, ended,
	};
}
