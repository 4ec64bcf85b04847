import {expect} from 'chai';
import {createLogger} from '@amaranthsail/core';
import {type ListedEnd, RUN_OUTCOMES, type WorkerLists} from '@amaranthsail/pool';
import {IncarnationTrace} from '@amaranthsail/pool-agent';

function listsOf(bornMs: number, endNumbers: readonly number[]): WorkerLists {
	const ended = endNumbers.map((sequence): ListedEnd => ({
		sequence, task: 'j.0.0.0', run: sequence, outcome: RUN_OUTCOMES.done, checkpoint: '',
	}));
	return {clockMs: 1, bornMs, running: [], ended};
}

describe('IncarnationTrace', () => {
	// Without these lines a run that vanished cannot be told from an end that a late acknowledgement removed.
	const cases: ReadonlyArray<{readonly title: string; readonly act: (trace: IncarnationTrace) => void; readonly lines: ReadonlyArray<Record<string, unknown>>}> = [
		{
			title: 'both incarnations and the last acknowledgement when another one answers',
			act(trace) {
				trace.onLists('w1@5', listsOf(5, [57]));
				trace.onAcknowledgement('w1@5', 57);
				trace.onAcknowledgement('w1@5', 57);
				trace.onLists('w1@5', listsOf(9, []));
			},
			lines: [
				{message: 'acknowledgement sent', worker: 'w1@5', bornMs: 5, sequence: 57},
				{message: 'worker incarnation changed', worker: 'w1@5', bornMs: 9, previousBornMs: 5, acknowledgedUpTo: 57},
			],
		},
		{
			title: 'ends of a new incarnation that were never listed, once',
			act(trace) {
				trace.onLists('w1@5', listsOf(5, []));
				trace.onLists('w1@9', listsOf(9, [3, 4]));
				trace.onLists('w1@9', listsOf(9, [3, 4]));
			},
			lines: [
				{message: 'worker incarnation changed', worker: 'w1@9', bornMs: 9, previousBornMs: 5, acknowledgedUpTo: 0},
				{message: 'ends missing', worker: 'w1@9', bornMs: 9, first: 1, last: 2, acknowledgedUpTo: 0},
			],
		},
		{
			title: 'no missing ends that an earlier agent may have acknowledged',
			act(trace) {
				trace.onLists('w1@5', listsOf(5, [58, 59]));
				trace.onAcknowledgement('w1@5', 58);
				trace.onLists('w1@5', listsOf(5, [59]));
			},
			lines: [{message: 'acknowledgement sent', worker: 'w1@5', bornMs: 5, sequence: 58}],
		},
		{
			title: 'an end between others that could not be read',
			act(trace) {
				trace.onLists('w1@5', listsOf(5, [7, 9]));
			},
			lines: [{message: 'ends missing', worker: 'w1@5', bornMs: 5, first: 8, last: 8, acknowledgedUpTo: 0}],
		},
	];
	for (const {title, act, lines} of cases) {
		it(`logs ${title}`, () => {
			const logged: Array<Record<string, unknown>> = [];
			act(new IncarnationTrace(createLogger('test', 'info', line => {
				const {time: _time, level: _level, component: _component, ...fields} = JSON.parse(line) as Record<string, unknown>;
				logged.push(fields);
			})));
			expect(logged).to.deep.equal(lines);
		});
	}
});
