import type {JobSpec} from '@amaranthsail/core';
import {expect} from 'chai';
import {cluster, config, facts, job} from './support.js';

describe('accepted jobs', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly change: Partial<JobSpec>; readonly accelerators?: number; readonly deadlineAtMs?: number}> = [
		{name: 'a service whose workers have not reported yet', change: {service: 'other'}},
		{name: 'a gang that needs workers which have not reported yet', change: {taskCount: 4, adjacency: 'rack'}, accelerators: 8},
		{name: 'a deadline that has passed', change: {}, deadlineAtMs: -1},
		{name: 'an account over its limit of waiting jobs', change: {}},
	];
	for (const {name, change, accelerators, deadlineAtMs} of cases) {
		// Guards against a new owner refusing accepted jobs before all workers have reported.
		it(`are not refused: ${name}`, () => {
			const scheduler = cluster([1], config({maxWaitingPerAccount: 0}));
			const accepted = {...job('accepted', change, accelerators), deadlineAtMs, isAccepted: true};
			expect(scheduler.submit(accepted, 0)).to.deep.equal({admitted: true});
		});
	}
});

describe('load', () => {
	// Guards against routing a job to a failure domain without its service, and against refusing it only there.
	it('reports the services that accept work, and the waiting jobs by account', () => {
		const scheduler = cluster([1]);
		scheduler.upsertWorker(facts('w9', 'r9', {endpoints: [{endpointId: 'w9/a', service: 'closed', leaving: true}]}), 0);
		scheduler.submit(job('first', {account: 'red'}), 0);
		scheduler.submit(job('second', {account: 'blue'}), 0);
		scheduler.submit(job('third', {account: 'blue'}), 0);
		expect(scheduler.load()).to.deep.include({services: ['repairs'], waitingByAccount: {red: 1, blue: 2}});
	});
});
