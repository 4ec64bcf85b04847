import {expect} from 'chai';
import {catalog} from './fixtures.js';
import {checkJobRequest} from '@amaranthsail/entry/job-request.js';
import {buildJobSpec} from '@amaranthsail/entry/job-spec.js';

const base = {service: 'register', operation: 'revaluation'};

describe('buildJobSpec', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly account?: string; readonly body: Record<string, unknown>; readonly expected: string}> = [
		{name: 'a job with only the required fields', body: base, expected: 'ok'},
		{name: 'a gang that fills a rack', body: {...base, taskCount: 3, shape: {accelerators: 8}, adjacency: 'rack'}, expected: 'ok'},
		{name: 'an account without a record', account: 'beta', body: base, expected: 'forbidden'},
		{name: 'an unknown service', body: {...base, service: 'other'}, expected: 'unknown_service'},
		{name: 'an unknown operation', body: {...base, operation: 'other'}, expected: 'unknown_operation'},
		{name: 'more memory than any worker has', body: {...base, shape: {memoryMb: 70_000}}, expected: 'never_fits'},
		{name: 'more slots than any worker has', body: {...base, shape: {slots: 9}}, expected: 'never_fits'},
		{name: 'a gang larger than a worker on one worker', body: {...base, taskCount: 9, adjacency: 'worker'}, expected: 'never_fits'},
		{name: 'tasks of three accelerators, each of which takes a block of four', body: {...base, taskCount: 7, shape: {accelerators: 3}}, expected: 'never_fits'},
		{name: 'an unknown failure domain', body: {...base, failureDomains: ['enna']}, expected: 'never_fits'},
		{name: 'a gang too large for the only allowed failure domain', body: {...base, taskCount: 9, failureDomains: ['palermo']}, expected: 'never_fits'},
		{name: 'a non-repeatable job where all capacity is guaranteed to another account', body: {...base, operation: 'disposal', failureDomains: ['palermo']}, expected: 'never_fits'},
		{name: 'a repeatable job where all capacity is guaranteed to another account', body: {...base, failureDomains: ['palermo']}, expected: 'ok'},
		{name: 'more accelerators than the account may use', account: 'small', body: {...base, taskCount: 5}, expected: 'never_fits'},
		{name: 'too many tasks', body: {...base, taskCount: 65}, expected: 'invalid_request'},
		{name: 'an operation made repeatable', body: {...base, operation: 'disposal', repeatable: true}, expected: 'invalid_request'},
		{name: 'an operation made non-repeatable', body: {...base, repeatable: false}, expected: 'ok'},
		{name: 'an input over the limit', body: {...base, input: 'x'.repeat(1000)}, expected: 'limit_exceeded'},
		{name: 'a misspelt field', body: {...base, taskCuont: 2}, expected: 'invalid_request'},
	];
	for (const {name, account = 'alpha', body, expected} of cases) {
		// Guards against accepting a job that can never run, and against refusing one that can.
		it(`answers ${expected} to ${name}`, () => {
			const checked = checkJobRequest(body, 'key');
			const result = checked.ok ? buildJobSpec(account, checked.value, catalog, 0) : checked;
			expect(result.ok ? 'ok' : result.error.code).to.equal(expected);
		});
	}
});

describe('checkJobRequest', () => {
	// Guards against a conflict for a retry that differs only in formatting or in its wait.
	it('computes a digest that depends neither on the order of keys nor on the wait', () => {
		const left = checkJobRequest({...base, input: {a: 1, b: [2]}, waitMs: 10}, 'key');
		const right = checkJobRequest({input: {b: [2], a: 1}, operation: 'revaluation', service: 'register'}, 'key');
		expect(left.ok && right.ok && left.value.bodyDigest === right.value.bodyDigest).to.equal(true);
	});

	for (const key of [undefined, '', 'with space', 'x'.repeat(129), 'naïve']) {
		it(`refuses the idempotency key ${JSON.stringify(key)}`, () => {
			const result = checkJobRequest(base, key);
			expect(result.ok ? 'ok' : result.error.code).to.equal('missing_idempotency_key');
		});
	}
});
