import {sha256Of, type JobRow} from '@amaranthsail/core';
import {MemoryObjectStore} from '@amaranthsail/backing-services';
import {expect} from 'chai';
import {jobRow} from './fixtures.js';
import {AnswerReader} from '@amaranthsail/entry/answer-reader.js';

const content = new TextEncoder().encode('{"total":12}');
const other = new TextEncoder().encode('{"total":99}');

function completedRow(references: JobRow['answers']): JobRow {
	return {...jobRow, state: 'completed', outcome: 'completed', answers: references};
}

function referenceOf(taskIndex: number, bytes: Uint8Array): JobRow['answers'][number] {
	return {taskIndex, objectKey: `answers/job/1/${taskIndex}`, lengthBytes: bytes.length, sha256: sha256Of(bytes)};
}

describe('AnswerReader', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly objects: ReadonlyArray<readonly [string, Uint8Array]>;
		readonly references: JobRow['answers'];
		readonly expected: string;
	}> = [
		{name: 'a complete answer', objects: [['answers/job/1/0', content]], references: [referenceOf(0, content)], expected: 'ok'},
		{name: 'a truncated object', objects: [['answers/job/1/0', content.subarray(0, 5)]], references: [referenceOf(0, content)], expected: 'answer_damaged'},
		{name: 'the answer of another job', objects: [['answers/job/1/0', other]], references: [referenceOf(0, content)], expected: 'answer_damaged'},
		{
			name: 'a gang with one answer missing',
			objects: [['answers/job/1/0', content]],
			references: [referenceOf(0, content), referenceOf(1, content)],
			expected: 'answer_damaged',
		},
	];
	for (const {name, objects, references, expected} of cases) {
		// Guards against returning a partial answer or the answer of another job.
		it(`reads ${name} as ${expected}`, async () => {
			const store = new MemoryObjectStore();
			for (const [key, bytes] of objects) {
				await store.put(key, bytes);
			}

			const result = await new AnswerReader(store).read(completedRow(references));
			expect(result.ok ? 'ok' : result.error.code).to.equal(expected);
			expect(result.ok ? 'completed' : result.error.outcome).to.equal('completed');
		});
	}
});
