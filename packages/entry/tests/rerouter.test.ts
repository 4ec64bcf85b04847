import {ManualClock, type JobRow} from '@amaranthsail/core';
import {expect} from 'chai';
import {catalog, jobRow} from './fixtures.js';
import {JobRouter, type FailureDomainLoad} from '@amaranthsail/entry/job-router.js';
import {Rerouter} from '@amaranthsail/entry/rerouter.js';

const servingLoad: FailureDomainLoad = {
	failureDomain: 'palermo', services: ['register'], waitingByAccount: {}, waitingJobs: 0, idleAccelerators: 8, totalAccelerators: 8, largestFreeBlock: 8,
};
const lostLoad: FailureDomainLoad = {...servingLoad, failureDomain: 'catania', services: [], idleAccelerators: 0, totalAccelerators: 0, largestFreeBlock: 0};

describe('Rerouter', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly loads: readonly FailureDomainLoad[];
		readonly row?: Partial<JobRow>;
		readonly elapsedMs: number;
		readonly expected: readonly string[];
	}> = [
		{name: 'moves a job from a lost failure domain', loads: [lostLoad, servingLoad], elapsedMs: 15_000, expected: ['palermo']},
		{name: 'does not move a job while a takeover may be in progress', loads: [lostLoad, servingLoad], elapsedMs: 10_000, expected: []},
		{name: 'leaves a job where it can run', loads: [{...servingLoad, failureDomain: 'catania'}, servingLoad], elapsedMs: 15_000, expected: []},
		{name: 'leaves a job that can run nowhere else', loads: [lostLoad, {...servingLoad, services: ['other']}], elapsedMs: 15_000, expected: []},
		{
			name: 'respects the failure domains of the job',
			loads: [lostLoad, servingLoad],
			row: {spec: {...jobRow.spec, failureDomains: ['catania']}},
			elapsedMs: 15_000,
			expected: [],
		},
	];
	for (const {name, loads, row, elapsedMs, expected} of cases) {
		// Guards against jobs that wait forever in a lost failure domain, and against moves during a takeover.
		it(name, () => {
			const clock = new ManualClock();
			const rerouter = new Rerouter(new JobRouter(() => loads), clock);
			const moves: string[] = [];
			const owner = {
				failureDomain: 'catania',
				waitingFor: () => [{...jobRow, ...row}],
				move(_jobIds: readonly string[], target: string): void {
					moves.push(target);
				},
			};
			rerouter.scan([owner], catalog);
			clock.advance(elapsedMs);
			rerouter.scan([owner], catalog);
			expect(moves).to.deep.equal(expected);
		});
	}
});
