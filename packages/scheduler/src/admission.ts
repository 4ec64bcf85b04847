import type {EmptyCluster} from './empty-cluster.js';
import type {RunTimeEstimate} from './run-time-estimates.js';
import type {Refusal, SchedulerJob} from './scheduler.js';

/** What admission weighs. */
export type AdmissionFacts = {
	readonly empty: EmptyCluster;
	readonly accountWaiting: number;
	readonly maxWaitingPerAccount: number;
	readonly totalWaiting: number;
	readonly maxWaiting: number;
	readonly accelerators: number;
	readonly maxAccelerators: number | undefined;
	readonly estimate: RunTimeEstimate;
	/** Expected time until the work ahead of the job has drained. */
	readonly backlogMs: number;
	readonly insideGuarantee: boolean;
};

function refusal(code: Refusal['code'], message: string, retryable: boolean): Refusal {
	return {code, message, retryable};
}

function neverFits(job: SchedulerJob, facts: AdmissionFacts): Refusal | undefined {
	if (facts.empty.isUnknown) {
		return undefined;
	}

	const {spec} = job;
	const because = facts.empty.refuses(spec);
	if (because === 'service') {
		return refusal('unknown_service', `no worker of this failure domain runs the service ${spec.service}`, true);
	}

	if (because === 'shape') {
		return refusal('never_fits', `${spec.taskCount} tasks with adjacency ${spec.adjacency} do not fit even when no other work runs`, false);
	}

	return because && refusal('never_fits', 'the job cannot be stopped, and the guarantees of other accounts leave no room for it', false);
}

function pastDeadline(job: SchedulerJob, facts: AdmissionFacts, nowMs: number): Refusal | undefined {
	if (job.deadlineAtMs === undefined) {
		return undefined;
	}

	const leftMs = job.deadlineAtMs - nowMs;
	if (leftMs <= 0) {
		return refusal('deadline_impossible', 'the deadline has passed', false);
	}

	if (leftMs < facts.estimate.shortestMs) {
		return refusal('deadline_impossible', `${Math.round(leftMs)} ms are left, but the shortest of the recent runs took ${Math.round(facts.estimate.shortestMs)} ms`, false);
	}

	// Reclaim gives work inside a guarantee its place whatever waits ahead.
	if (!facts.insideGuarantee && facts.estimate.learned && facts.backlogMs + facts.estimate.shortestMs > leftMs) {
		return refusal('overloaded', `the work ahead needs about ${Math.round(facts.backlogMs)} ms, too long for the deadline in ${Math.round(leftMs)} ms`, true);
	}

	return undefined;
}

/**
 * Decides whether a job is admitted.
 *
 * @param job - The job.
 * @param facts - What to weigh.
 * @param nowMs - The present time.
 * @returns The refusal, or undefined when the job may wait.
 */
export function refusalOf(job: SchedulerJob, facts: AdmissionFacts, nowMs: number): Refusal | undefined {
	const early = neverFits(job, facts);
	if (early) {
		return early;
	}

	if (facts.maxAccelerators !== undefined && facts.accelerators > facts.maxAccelerators) {
		return refusal('account_limit', `the job takes ${facts.accelerators} accelerators; account ${job.spec.account} may use ${facts.maxAccelerators}`, false);
	}

	if (facts.accountWaiting >= facts.maxWaitingPerAccount) {
		return refusal('account_limit', `account ${job.spec.account} has ${facts.accountWaiting} waiting jobs, the most it may have`, true);
	}

	if (facts.totalWaiting >= facts.maxWaiting) {
		return refusal('overloaded', `${facts.totalWaiting} jobs wait in this failure domain, the most it takes`, true);
	}

	return pastDeadline(job, facts, nowMs);
}
