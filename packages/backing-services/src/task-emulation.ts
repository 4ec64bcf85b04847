import {Buffer} from 'node:buffer';
import type {TaskAssignment, TaskKey} from '@amaranthsail/core';

/** Behaviour of an emulated task, as read from its input. */
export type TaskBehaviour = {
	/** Run time at full speed in milliseconds. */
	readonly runMs: number;
	/** Reason with which the task fails at the end of its run time. */
	readonly fail?: string;
	/** Copied into the answer. */
	readonly answer?: unknown;
	/** Length to which the answer is padded. */
	readonly answerBytes?: number;
	/** Whether the task ignores stop requests; the expiry of its lease still ends it. */
	readonly ignoreStop: boolean;
};

/** An operation that fails on every worker as soon as it starts. */
export const NEVER_RUNS_OPERATION = 'neverRuns';

/** Run time of a task whose input does not specify one. */
export const DEFAULT_RUN_MS = 10;

/** Maximum length to which an input can have the answer padded. */
export const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Reads the behaviour of a task from its input.
 *
 * @param input - JSON text; other text, and fields of a wrong type, result in the defaults.
 * @returns The behaviour.
 */
export function readTaskBehaviour(input: string | undefined): TaskBehaviour {
	const fields = parseObject(input ?? '');
	return {
		runMs: typeof fields.runMs === 'number' && fields.runMs >= 0 ? fields.runMs : DEFAULT_RUN_MS,
		fail: typeof fields.fail === 'string' ? fields.fail : undefined,
		answer: fields.answer,
		answerBytes: typeof fields.answerBytes === 'number' ? Math.min(fields.answerBytes, MAX_ANSWER_BYTES) : undefined,
		ignoreStop: fields.ignoreStop === true,
	};
}

/**
 * Creates the answer of a task: JSON text with the task, its worker and accelerators, and a copy of the input.
 *
 * @param key - The task.
 * @param assignment - The assignment of the task.
 * @param workerId - The worker that ran it.
 * @param behaviour - The behaviour read from the input.
 * @returns The answer as UTF-8, padded to `answerBytes` if it is shorter.
 */
export function createAnswer(key: TaskKey, assignment: TaskAssignment, workerId: string, behaviour: TaskBehaviour): Uint8Array {
	const answerFields = {
		jobId: key.jobId,
		attempt: key.attempt,
		taskIndex: key.taskIndex,
		workerId,
		accelerators: assignment.accelerators,
		input: assignment.inlineInput,
		answer: behaviour.answer,
	};
	const answer = Buffer.from(JSON.stringify(answerFields));
	const paddingBytes = (behaviour.answerBytes ?? 0) - Buffer.byteLength(JSON.stringify({...answerFields, padding: ''}));
	return paddingBytes > 0 ? Buffer.from(JSON.stringify({...answerFields, padding: '.'.repeat(paddingBytes)})) : answer;
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {};
	} catch {
		return {};
	}
}
