import {Buffer} from 'node:buffer';
import {err, ok, sha256Of, type AnswerReference, type JobRow, type Result} from '@amaranthsail/core';
import type {ObjectStore} from '@amaranthsail/backing-services';
import {apiError, type ApiError} from './api-error.js';

/** The answer of one task. */
export type TaskAnswer = {
	readonly taskIndex: number;
	readonly lengthBytes: number;
	readonly sha256: string;
	/** The decoded answer, when it is JSON. */
	readonly value?: unknown;
	/** The bytes of the answer, when it is not JSON. */
	readonly contentBase64?: string;
};

/** The complete answer of a job. */
export type JobAnswer = {readonly jobId: string; readonly attempt: number; readonly tasks: readonly TaskAnswer[]};

/** Reads the answers of finished jobs and verifies their length and digest. */
export class AnswerReader {
	readonly #objects: ObjectStore;

	/**
	 * @param objects - The platform's object store.
	 */
	constructor(objects: ObjectStore) {
		this.#objects = objects;
	}

	/**
	 * Reads the answer of a completed job.
	 *
	 * @param row - The row of the job.
	 * @returns The answers of all tasks, or an error when any is missing or damaged; never a partial answer.
	 */
	async read(row: JobRow): Promise<Result<JobAnswer, ApiError>> {
		if (row.state !== 'completed') {
			return err(apiError('not_found', `Job ${row.jobId} is ${row.state} and has no answer.`, {outcome: row.outcome ?? 'unknown'}));
		}

		const tasks = await Promise.all(row.answers.map(async reference => this.#readTask(reference)));
		const failed = tasks.find(task => !task.ok);
		if (failed && !failed.ok) {
			return failed;
		}

		return ok({jobId: row.jobId, attempt: row.attempt, tasks: tasks.flatMap(task => task.ok ? [task.value] : [])});
	}

	async #readTask(reference: AnswerReference): Promise<Result<TaskAnswer, ApiError>> {
		const content = await this.#objects.get(reference.objectKey);
		if (!content.ok) {
			const message = `The object store does not answer (${content.error.message}); ask again.`;
			return err(apiError('store_unavailable', message, {outcome: 'completed'}));
		}

		if (content.value?.length !== reference.lengthBytes || sha256Of(content.value) !== reference.sha256) {
			const message = `The answer of task ${reference.taskIndex} is not whole (${content.value?.length ?? 0} of ${reference.lengthBytes} bytes); ask again.`;
			return err(apiError('answer_damaged', message, {outcome: 'completed'}));
		}

		const {taskIndex, lengthBytes, sha256} = reference;
		const text = Buffer.from(content.value).toString('utf8');
		try {
			return ok({taskIndex, lengthBytes, sha256, value: JSON.parse(text) as unknown});
		} catch {
			return ok({taskIndex, lengthBytes, sha256, contentBase64: Buffer.from(content.value).toString('base64')});
		}
	}
}
