import {expect} from 'chai';
import {catalog, jobRow} from './fixtures.js';
import {JobRouter, type FailureDomainLoad} from '@amaranthsail/entry/job-router.js';

const idleLoad = {services: ['register'], waitingByAccount: {}, waitingJobs: 0, idleAccelerators: 8, totalAccelerators: 8, largestFreeBlock: 8};
const busyLoad = {services: ['register'], waitingByAccount: {}, waitingJobs: 4, idleAccelerators: 0, totalAccelerators: 24, largestFreeBlock: 0};

describe('JobRouter', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly loads: readonly FailureDomainLoad[]; readonly taskCount: number; readonly expected: readonly string[]}> = [
		{
			name: 'prefers a failure domain where the job can start at once',
			loads: [{failureDomain: 'catania', ...busyLoad}, {failureDomain: 'palermo', ...idleLoad}],
			taskCount: 1,
			expected: ['palermo', 'catania'],
		},
		{
			name: 'prefers a failure domain with an owner',
			loads: [{failureDomain: 'catania', ...busyLoad}],
			taskCount: 1,
			expected: ['catania', 'palermo'],
		},
		{
			name: 'prefers the failure domain of the account\'s guarantee among equally loaded ones',
			loads: [{failureDomain: 'catania', ...busyLoad}, {failureDomain: 'palermo', ...busyLoad}],
			taskCount: 1,
			expected: ['palermo', 'catania'],
		},
		{
			name: 'prefers a failure domain where the service runs, even a busy one',
			loads: [{failureDomain: 'catania', ...busyLoad}, {failureDomain: 'palermo', ...idleLoad, services: ['other']}],
			taskCount: 1,
			expected: ['catania', 'palermo'],
		},
		{
			name: 'leaves out a failure domain that is too small',
			loads: [{failureDomain: 'catania', ...busyLoad}, {failureDomain: 'palermo', ...idleLoad}],
			taskCount: 9,
			expected: ['catania'],
		},
	];
	for (const {name, loads, taskCount, expected} of cases) {
		it(name, () => {
			const spec = {...jobRow.spec, taskCount};
			expect(new JobRouter(() => loads).rankFailureDomains(spec, catalog)).to.deep.equal(expected);
		});
	}
});

describe('JobRouter.loadRefusal', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly load: Partial<FailureDomainLoad>; readonly expected: string | undefined}> = [
		{name: 'an account below its limit', load: {waitingByAccount: {alpha: 99}}, expected: undefined},
		{name: 'an account at its limit', load: {waitingByAccount: {alpha: 100}}, expected: 'account_limit'},
		{name: 'another account at its limit', load: {waitingByAccount: {beta: 100}}, expected: undefined},
		{name: 'a failure domain with too long a queue', load: {waitingJobs: 800, totalAccelerators: 8}, expected: 'overloaded'},
	];
	for (const {name, load, expected} of cases) {
		// Guards against accepting more jobs than can be served, and against refusing a job because of another account's queue.
		it(`answers ${String(expected)} to ${name}`, () => {
			const router = new JobRouter(() => [{failureDomain: 'catania', ...idleLoad, ...load}]);
			expect(router.loadRefusal('alpha', 'catania', catalog)).to.equal(expected);
		});
	}
});
