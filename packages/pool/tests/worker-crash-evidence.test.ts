import {expect} from 'chai';
import type {CrashEvidence} from '@amaranthsail/pool/crash-record.js';
import {isCrashingTask} from '@amaranthsail/pool/worker-crash.js';

type Case = {
	readonly title: string;
	/** Evidence of each crash, on a worker of its own. */
	readonly confirmed?: readonly CrashEvidence[];
	readonly explained?: readonly CrashEvidence[];
	readonly unconfirmed?: readonly CrashEvidence[];
	readonly isCrashing: boolean;
};

describe('the decision whether a task crashes its workers', () => {
	const cases: readonly Case[] = [
		{title: 'two crashes at its own start', confirmed: ['atStart', 'atStart'], isCrashing: true},
		{title: 'one crash at its own start', confirmed: ['atStart'], isCrashing: false},
		{title: 'two crashes in its work', confirmed: ['duringWork', 'duringWork'], isCrashing: false},
		{title: 'three crashes in its work', confirmed: ['duringWork', 'duringWork', 'duringWork'], isCrashing: true},
		{title: 'three crashes at starts shared with other jobs', confirmed: ['atSharedStart', 'atSharedStart', 'atSharedStart'], isCrashing: true},
		{title: 'four unanswered starts', confirmed: ['possible', 'possible', 'possible', 'possible'], isCrashing: false},
		{title: 'five unanswered starts', confirmed: ['possible', 'possible', 'possible', 'possible', 'possible'], isCrashing: true},
		{title: 'one known and three unanswered starts', confirmed: ['atStart', 'possible', 'possible', 'possible'], isCrashing: true},
		{title: 'two losses without a crash', unconfirmed: ['atStart', 'atStart'], isCrashing: false},
		{title: 'three crashes that another task explains', explained: ['atStart', 'atStart', 'atStart'], isCrashing: false},
		{title: 'four crashes that another task explains', explained: ['atStart', 'atStart', 'atStart', 'atStart'], isCrashing: true},
		{title: 'a known start and three unanswered ones whose crashes another task explains', confirmed: ['atSharedStart'], explained: ['possible', 'possible', 'possible'], isCrashing: false},
		{title: 'a known start and four unanswered ones whose crashes another task explains', confirmed: ['atSharedStart'], explained: ['possible', 'possible', 'possible', 'possible'], isCrashing: true},
	];
	for (const {title, confirmed = [], explained = [], unconfirmed = [], isCrashing} of cases) {
		it(`is ${isCrashing ? 'yes' : 'no'} after ${title}`, () => {
			const crashes = [
				...confirmed.map(evidence => ({evidence, isConfirmed: true})),
				...explained.map(evidence => ({evidence, isConfirmed: true, isExplained: true})),
				...unconfirmed.map(evidence => ({evidence, isConfirmed: false})),
			];
			expect(isCrashingTask(crashes.map((crash, index) => ({...crash, life: `w${index}@1000`})))).to.equal(isCrashing);
		});
	}
});
