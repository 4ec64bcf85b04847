import type {EmptyCluster} from './empty-cluster.js';
import type {RunTimeEstimate} from './run-time-estimates.js';
import type {Refusal, SchedulerJob} from './scheduler.js';

/** The inputs of an admission decision. */
export type AdmissionInputs = {
	readonly emptyCluster: EmptyCluster;
	readonly accountWaiting: number;
	readonly maxWaitingPerAccount: number;
	readonly totalWaiting: number;
	readonly maxWaiting: number;
	readonly accelerators: number;
	readonly maxAccelerators: number | undefined;
	readonly estimate: RunTimeEstimate;
	/** Expected time until the work ahead of the job is done. */
	readonly backlogMs: number;
	readonly isWithinGuarantee: boolean;
};

function refusal(code: Refusal['code'], message: string, retryable: boolean): Refusal {
	return {code, message, retryable};
}

function checkFit(job: SchedulerJob, inputs: AdmissionInputs): Refusal | undefined {
	if (inputs.emptyCluster.hasNoServices) {
		return undefined;
	}

	const {spec} = job;
	const reason = inputs.emptyCluster.refusalReason(spec);
	if (reason === 'service') {
		return refusal('unknown_service', `no worker of this failure domain runs the service ${spec.service}`, true);
	}

	if (reason === 'shape') {
		return refusal('never_fits', `${spec.taskCount} tasks with adjacency ${spec.adjacency} do not fit even when no other work runs`, false);
	}

	return reason && refusal('never_fits', 'the job cannot be stopped, and the guarantees of other accounts leave no room for it', false);
}

function checkDeadline(job: SchedulerJob, inputs: AdmissionInputs, nowMs: number): Refusal | undefined {
	if (job.deadlineAtMs === undefined) {
		return undefined;
	}

	const remainingMs = job.deadlineAtMs - nowMs;
	if (remainingMs <= 0) {
		return refusal('deadline_impossible', 'the deadline has passed', false);
	}

	if (remainingMs < inputs.estimate.shortestMs) {
		return refusal('deadline_impossible', `${Math.round(remainingMs)} ms are left, but the shortest of the recent runs took ${Math.round(inputs.estimate.shortestMs)} ms`, false);
	}

	// A job within a guarantee is placed by reclaim, whatever is ahead of it in the queue.
	if (!inputs.isWithinGuarantee && inputs.estimate.isLearned && inputs.backlogMs + inputs.estimate.shortestMs > remainingMs) {
		return refusal('overloaded', `the work ahead needs about ${Math.round(inputs.backlogMs)} ms, too long for the deadline in ${Math.round(remainingMs)} ms`, true);
	}

	return undefined;
}

/**
 * Decides whether to admit a job.
 *
 * @param job - The job.
 * @param inputs - The state of the failure domain and the account.
 * @param nowMs - The current time.
 * @returns The refusal, or undefined if the job is admitted.
 */
export function checkAdmission(job: SchedulerJob, inputs: AdmissionInputs, nowMs: number): Refusal | undefined {
	const fitRefusal = checkFit(job, inputs);
	if (fitRefusal) {
		return fitRefusal;
	}

	if (inputs.maxAccelerators !== undefined && inputs.accelerators > inputs.maxAccelerators) {
		return refusal('account_limit', `the job takes ${inputs.accelerators} accelerators; account ${job.spec.account} may use ${inputs.maxAccelerators}`, false);
	}

	if (inputs.accountWaiting >= inputs.maxWaitingPerAccount) {
		return refusal('account_limit', `account ${job.spec.account} has ${inputs.accountWaiting} waiting jobs, the most it may have`, true);
	}

	if (inputs.totalWaiting >= inputs.maxWaiting) {
		return refusal('overloaded', `${inputs.totalWaiting} jobs wait in this failure domain, the most it takes`, true);
	}

	return checkDeadline(job, inputs, nowMs);
}
