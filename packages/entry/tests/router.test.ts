import {expect} from 'chai';
import {catalog, jobRow} from './fixtures.js';
import {Router, type DomainLoad} from '@amaranthsail/entry/router.js';

const idle = {services: ['register'], waitingByAccount: {}, waitingJobs: 0, idleAccelerators: 8, totalAccelerators: 8, largestFreeBlock: 8};
const busy = {services: ['register'], waitingByAccount: {}, waitingJobs: 4, idleAccelerators: 0, totalAccelerators: 24, largestFreeBlock: 0};

describe('Router', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly loads: readonly DomainLoad[]; readonly taskCount: number; readonly expected: readonly string[]}> = [
		{
			name: 'prefers where the job starts at once',
			loads: [{failureDomain: 'catania', ...busy}, {failureDomain: 'palermo', ...idle}],
			taskCount: 1,
			expected: ['palermo', 'catania'],
		},
		{
			name: 'prefers a failure domain with an owner',
			loads: [{failureDomain: 'catania', ...busy}],
			taskCount: 1,
			expected: ['catania', 'palermo'],
		},
		{
			name: 'prefers the failure domain of the guarantee among equals',
			loads: [{failureDomain: 'catania', ...busy}, {failureDomain: 'palermo', ...busy}],
			taskCount: 1,
			expected: ['palermo', 'catania'],
		},
		{
			name: 'prefers where the service runs, even when busy',
			loads: [{failureDomain: 'catania', ...busy}, {failureDomain: 'palermo', ...idle, services: ['other']}],
			taskCount: 1,
			expected: ['catania', 'palermo'],
		},
		{
			name: 'leaves out a failure domain that is too small',
			loads: [{failureDomain: 'catania', ...busy}, {failureDomain: 'palermo', ...idle}],
			taskCount: 9,
			expected: ['catania'],
		},
	];
	for (const {name, loads, taskCount, expected} of cases) {
		it(name, () => {
			const spec = {...jobRow.spec, taskCount};
			expect(new Router(() => loads).rank(spec, catalog)).to.deep.equal(expected);
		});
	}
});

describe('Router.loadRefusal', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly load: Partial<DomainLoad>; readonly expected: string | undefined}> = [
		{name: 'an account below its limit', load: {waitingByAccount: {alpha: 99}}, expected: undefined},
		{name: 'an account at its limit', load: {waitingByAccount: {alpha: 100}}, expected: 'account_limit'},
		{name: 'another account at its limit', load: {waitingByAccount: {beta: 100}}, expected: undefined},
		{name: 'a failure domain with too long a queue', load: {waitingJobs: 800, totalAccelerators: 8}, expected: 'overloaded'},
	];
	for (const {name, load, expected} of cases) {
		// Guards against accepting at a peak what cannot be served, and against refusing for another account's queue.
		it(`answers ${String(expected)} to ${name}`, () => {
			const router = new Router(() => [{failureDomain: 'catania', ...idle, ...load}]);
			expect(router.loadRefusal('alpha', 'catania', catalog)).to.equal(expected);
		});
	}
});
