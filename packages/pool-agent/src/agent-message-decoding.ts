import {Buffer} from 'node:buffer';
import {
	asFields, asList, type Fields, isAddress, isCount, isText, textOr,
} from '@amaranthsail/core';
import {
	type AgentReport, isEpoch, isTaskShape, type ListedEnd, type ListedRun, type OrderOutcome, REFUSALS, type Refusal, RUN_OUTCOMES, type RunOutcome, WORKER_STATES, type WorkerState,
} from '@amaranthsail/pool';
import type {
	AnnounceRequest, OrderAnswer, OrderRequest, StaleEpochAnswer, WatchAnswer, WatchRequest,
} from './agent-messages.js';

/** The name is a key of the members table; the store refuses longer keys. */
const MAX_AGENT_NAME_BYTES = 200;

/** @returns The watch request, or undefined when it is malformed. */
export function decodeWatchRequest(body: unknown): WatchRequest | undefined {
	const {epoch, sinceVersion, waitMs, life, leaseUntilMs, ackSequence} = asFields(body);
	if (!isEpoch(epoch) || !Number.isSafeInteger(sinceVersion) || !isCount(waitMs) || !isOptional(life, isText)
		|| !isOptional(leaseUntilMs, isCount) || !isOptional(ackSequence, isCount)) {
		return undefined;
	}

	return body as WatchRequest;
}

/** @returns The order request, or undefined when it is malformed. */
export function decodeOrderRequest(body: unknown): OrderRequest | undefined {
	const {epoch, life, order} = asFields(body);
	return isEpoch(epoch) && isText(life) && isWorkerOrder(asFields(order)) ? body as OrderRequest : undefined;
}

/** @returns The announcement, or undefined when it is malformed. */
export function decodeAnnounceRequest(body: unknown): AnnounceRequest | undefined {
	const {agent, address} = asFields(body);
	return isText(agent) && agent !== '' && Buffer.byteLength(agent) <= MAX_AGENT_NAME_BYTES && isAddress(address) ? {agent, address} : undefined;
}

/**
 * Decodes an agent's answer to a watch. The process at an agent's address may be another program after its VM has left.
 *
 * @param body - Decoded JSON of the answer.
 * @returns The answer, or undefined when it is malformed.
 */
export function decodeWatchAnswer(body: unknown): WatchAnswer | StaleEpochAnswer | undefined {
	const {epoch, incarnation, version, report, leftLives} = asFields(body);
	if (isEpoch(epoch)) {
		return {epoch};
	}

	if (!isText(incarnation) || !isCount(version) || !isTextList(leftLives) || !isOptional(report, isReport)) {
		return undefined;
	}

	return body as WatchAnswer;
}

/** @returns The outcome of an order, or undefined when the answer is malformed. */
export function decodeOrderAnswer(body: unknown): OrderAnswer | StaleEpochAnswer | undefined {
	const {epoch, outcome, orderCount} = asFields(body);
	if (isEpoch(epoch)) {
		return {epoch};
	}

	const decoded = decodeOutcome(asFields(outcome));
	return decoded && isCount(orderCount) ? {outcome: decoded, orderCount} : undefined;
}

function decodeOutcome({kind, reason, message}: Fields): OrderOutcome | undefined {
	switch (kind) {
		case 'done':
		case 'gone': {
			return {kind};
		}

		case 'unknown': {
			return {kind, message: textOr(message, '')};
		}

		case 'refused': {
			return {kind, reason: Object.values(REFUSALS).includes(reason as Refusal) ? reason as Refusal : REFUSALS.invalid};
		}

		default: {
			return undefined;
		}
	}
}

function isOptional<Value>(value: unknown, check: (value: unknown) => value is Value): value is Value | undefined {
	return value === undefined || check(value);
}

function isWorkerOrder({kind, task, run, payload, leaseUntilMs, checkpoint}: Fields): boolean {
	const isStart = kind === 'start' && isText(payload) && isCount(leaseUntilMs) && isText(checkpoint);
	return isText(task) && isCount(run, 1) && (kind === 'stop' || isStart);
}

function isReport(value: unknown): value is AgentReport {
	const {facts, lists} = asFields(value);
	return isFacts(asFields(facts)) && (lists === undefined || isLists(asFields(lists)));
}

function isFacts({life, id, service, failureDomain, state, capacity, labels, remainingMs}: Fields): boolean {
	return isTextList([life, id, service, failureDomain]) && Object.values(WORKER_STATES).includes(state as WorkerState)
		&& isTaskShape(capacity) && isTextList(labels) && isOptional(remainingMs, isNumber);
}

function isLists({clockMs, ageMs, ordersBefore, running, ended}: Fields): boolean {
	return [clockMs, ageMs, ordersBefore].every(value => isNumber(value)) && Array.isArray(running) && Array.isArray(ended)
		&& asList(running).every(run => isListedRun(asFields(run))) && asList(ended).every(end => isListedEnd(asFields(end)));
}

function isListedRun({task, run, checkpoint, percent}: Partial<Record<keyof ListedRun, unknown>>): boolean {
	return isText(task) && isCount(run) && isText(checkpoint) && isNumber(percent);
}

function isListedEnd({sequence, task, run, outcome, checkpoint}: Partial<Record<keyof ListedEnd, unknown>>): boolean {
	return isCount(sequence) && isText(task) && isCount(run) && isText(checkpoint) && Object.values(RUN_OUTCOMES).includes(outcome as RunOutcome);
}

function isTextList(value: unknown): value is readonly string[] {
	return Array.isArray(value) && value.every(entry => isText(entry));
}

function isNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}
