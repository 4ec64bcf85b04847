import {ManualClock, type JobRow} from '@amaranthsail/core';
import {expect} from 'chai';
import {catalog, jobRow} from './fixtures.js';
import {Rerouter} from '@amaranthsail/entry/rerouter.js';
import {Router, type DomainLoad} from '@amaranthsail/entry/router.js';

const serving: DomainLoad = {
	failureDomain: 'palermo', services: ['register'], waitingByAccount: {}, waitingJobs: 0, idleAccelerators: 8, totalAccelerators: 8, largestFreeBlock: 8,
};
const lost: DomainLoad = {...serving, failureDomain: 'catania', services: [], idleAccelerators: 0, totalAccelerators: 0, largestFreeBlock: 0};

describe('Rerouter', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly loads: readonly DomainLoad[];
		readonly row?: Partial<JobRow>;
		readonly passedMs: number;
		readonly expected: readonly string[];
	}> = [
		{name: 'moves a job from a lost failure domain', loads: [lost, serving], passedMs: 15_000, expected: ['palermo']},
		{name: 'waits until a takeover would be over', loads: [lost, serving], passedMs: 10_000, expected: []},
		{name: 'leaves a job where it can run', loads: [{...serving, failureDomain: 'catania'}, serving], passedMs: 15_000, expected: []},
		{name: 'leaves a job that runs nowhere else', loads: [lost, {...serving, services: ['other']}], passedMs: 15_000, expected: []},
		{
			name: 'respects the failure domains of the job',
			loads: [lost, serving],
			row: {spec: {...jobRow.spec, failureDomains: ['catania']}},
			passedMs: 15_000,
			expected: [],
		},
	];
	for (const {name, loads, row, passedMs, expected} of cases) {
		// Guards against jobs that wait for ever in a failure domain that is gone, and against moves during a takeover.
		it(name, () => {
			const clock = new ManualClock();
			const rerouter = new Rerouter(new Router(() => loads), clock);
			const moves: string[] = [];
			const owner = {
				failureDomain: 'catania',
				waitingFor: () => [{...jobRow, ...row}],
				move(_jobIds: readonly string[], target: string): void {
					moves.push(target);
				},
			};
			rerouter.run([owner], catalog);
			clock.advance(passedMs);
			rerouter.run([owner], catalog);
			expect(moves).to.deep.equal(expected);
		});
	}
});
