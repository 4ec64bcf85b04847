import {
	asFields, asList, type Fields, isAddress, isCount, isText, numberOr,
} from '@amaranthsail/core';
import {
	JOB_STATES, type JobSpec, type JobState, MAX_JOB_TASKS, type TaskShape,
} from './model.js';
import type {QueueTerms} from './queue-terms.js';
import {
	type IncarnationRow, type JobRow, type LeaderRow, MAX_EPOCH, type MemberRow, type RunRow,
} from './rows.js';
import {CRASH_EVIDENCE, type CrashEvidence, type WorkerCrash} from './crash-record.js';

/**
 * Decodes a row of the jobs table.
 *
 * @param value - Decoded JSON of the row.
 * @returns The job, or undefined when a field that the leader needs is missing or invalid.
 */
export function decodeJobRow(value: unknown): JobRow | undefined {
	const {queue, account, acceptedAtMs, terms, spec, finalState, endedAtMs} = asFields(value);
	const hasValidState = finalState === undefined || Object.values(JOB_STATES).includes(finalState as JobState);
	if (!isText(queue) || !isText(account) || !isNumber(acceptedAtMs) || !hasValidState) {
		return undefined;
	}

	if (finalState === undefined && !isJobSpec(spec)) {
		return undefined;
	}

	return {
		queue,
		account,
		acceptedAtMs,
		...(isQueueTerms(terms) && {terms}),
		...(isJobSpec(spec) && {spec}),
		...(finalState !== undefined && {finalState: finalState as JobState}),
		...(isNumber(endedAtMs) && {endedAtMs}),
	};
}

/**
 * Decodes a row of the runs table.
 *
 * @param value - Decoded JSON of the row.
 * @returns The newest run of the task, or undefined when the row cannot be read.
 */
export function decodeRunRow(value: unknown): RunRow | undefined {
	const {run, life, isUnbegun, isDone, failures, checkpoint, crashes} = asFields(value);
	if (!isCount(run, 1) || !(life === undefined || isIncarnation(life))) {
		return undefined;
	}

	return {
		run,
		...(life !== undefined && {life}),
		...(isUnbegun === true && {isUnbegun}),
		...(isDone === true && {isDone}),
		...(isCount(failures, 1) && {failures}),
		...(isText(checkpoint) && {checkpoint}),
		...(Array.isArray(crashes) && {crashes: asList(crashes).map(crash => decodeCrash(asFields(crash))).filter(crash => crash !== undefined)}),
	};
}

function decodeCrash({life, evidence, isConfirmed, isExplained}: Fields): WorkerCrash | undefined {
	return isIncarnation(life) && Object.values(CRASH_EVIDENCE).includes(evidence as CrashEvidence)
		? {
			life, evidence: evidence as CrashEvidence, isConfirmed: isConfirmed === true, ...(isExplained === true && {isExplained}),
		}
		: undefined;
}

/** An id, and the start time in Unix milliseconds. */
const INCARNATION_PATTERN = /^[!-?A-~]{1,128}@(\d{1,16})$/v;

/** Incarnations are keys of the suspects table; the store refuses a key that is too long. */
function isIncarnation(value: unknown): value is string {
	const match = isText(value) ? INCARNATION_PATTERN.exec(value) : null;
	return match !== null && Number.isSafeInteger(Number(match[1]));
}

/** @returns The row of the lives table, or undefined when it cannot be read. */
export function decodeIncarnationRow(value: unknown): IncarnationRow | undefined {
	const {life} = asFields(value);
	return isIncarnation(life) ? {life} : undefined;
}

/** @returns The row of the members table, or undefined when it cannot be read. */
export function decodeMemberRow(value: unknown): MemberRow | undefined {
	const {address} = asFields(value);
	return isAddress(address) ? {address} : undefined;
}

/** @returns Whether the value is an epoch that a leader may have. */
export function isEpoch(value: unknown): value is number {
	return isCount(value) && value <= MAX_EPOCH;
}

/** @returns The leader row, or undefined when it cannot be read. */
export function decodeLeaderRow(value: unknown): LeaderRow | undefined {
	const {holder, address, epoch, commit} = asFields(value);
	if (!isText(holder) || !isEpoch(epoch) || !isAddress(address)) {
		return undefined;
	}

	return {
		holder, address, epoch, commit: numberOr(commit, 0),
	};
}

function isQueueTerms(value: unknown): value is QueueTerms {
	const {service, priority, maxAttempts, stretch, targetLatencyMs} = asFields(value);
	return isText(service) && [priority, maxAttempts, stretch, targetLatencyMs].every(field => isNumber(field));
}

function isJobSpec(value: unknown): value is JobSpec {
	const {payload, steps, recurrence} = asFields(value);
	return isText(payload) && Array.isArray(steps) && steps.length > 0
		&& steps.every((step, number) => isStepSpec(asFields(step), number))
		&& steps.reduce((sum: number, step) => sum + Number(asFields(step).taskCount), 0) <= MAX_JOB_TASKS
		&& (recurrence === undefined || isRecurrence(asFields(recurrence)));
}

/** JSON numbers may be too large, and are infinite then. */
function isNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}

function isRecurrence({startAtMs, intervalMs, count}: Fields): boolean {
	return isCount(count, 1) && isNumber(startAtMs) && isNumber(intervalMs);
}

function isStepSpec({taskCount, shape, estimatedMs, after}: Fields, number: number): boolean {
	return isCount(taskCount, 1) && isTaskShape(shape) && isNumber(estimatedMs)
		&& Array.isArray(after) && asList(after).every(earlier => isCount(earlier) && earlier < number);
}

/** @returns Whether the value is a task's or a worker's capacity. */
export function isTaskShape(value: unknown): value is TaskShape {
	const {cpuMillis, memoryMb, accelerators} = asFields(value);
	return isCount(cpuMillis) && isCount(memoryMb) && isCount(accelerators);
}
