import {Buffer} from 'node:buffer';
import type {TaskAssignment, TaskKey} from '@amaranthsail/core';

/** How an emulated task behaves; read from its input. */
export type TaskBehaviour = {
	/** Run time at full speed in milliseconds. */
	readonly runMs: number;
	/** Reason with which the task fails at the end of its run time. */
	readonly fail?: string;
	/** Put into the answer as it is. */
	readonly answer?: unknown;
	/** Length to which the answer is padded. */
	readonly answerBytes?: number;
	/** Whether the task runs on after a request to stop; a lapsed lease still ends it. */
	readonly ignoreStop: boolean;
};

/** An operation that fails on every worker as soon as it starts. */
export const NEVER_RUNS_OPERATION = 'neverRuns';

/** Run time of a task whose input states none. */
export const DEFAULT_RUN_MS = 10;

/** Longest answer that an input can ask for. */
export const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Reads the behaviour of a task from its input.
 *
 * @param input - JSON text; anything else, and fields of a wrong type, give the defaults.
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
 * Makes the answer of a task: JSON text that states what ran where, with an echo of the input.
 *
 * @param key - The task.
 * @param assignment - What it was started with.
 * @param workerId - The worker that ran it.
 * @param behaviour - The behaviour read from the input.
 * @returns The answer as UTF-8, padded to `answerBytes` when that is longer.
 */
export function makeAnswer(key: TaskKey, assignment: TaskAssignment, workerId: string, behaviour: TaskBehaviour): Uint8Array {
	const facts = {
		jobId: key.jobId,
		attempt: key.attempt,
		taskIndex: key.taskIndex,
		workerId,
		accelerators: assignment.accelerators,
		input: assignment.inlineInput,
		answer: behaviour.answer,
	};
	const answer = Buffer.from(JSON.stringify(facts));
	const missingBytes = (behaviour.answerBytes ?? 0) - Buffer.byteLength(JSON.stringify({...facts, padding: ''}));
	return missingBytes > 0 ? Buffer.from(JSON.stringify({...facts, padding: '.'.repeat(missingBytes)})) : answer;
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {};
	} catch {
		return {};
	}
}
