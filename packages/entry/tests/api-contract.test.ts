import process from 'node:process';
import {createLogger, formatAddress, silentLogger, type Address} from '@amaranthsail/core';
import {startPlatform, type RunningPlatform} from '@amaranthsail/standin';
import {expect} from 'chai';
import {request} from 'undici';
import {register} from './example-records.js';
import {EntryProgram} from '@amaranthsail/entry';

type ApiCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly token?: string;
	readonly key?: string;
	readonly body?: string;
};

type Reply = {readonly status: number; readonly body: Record<string, unknown>};

const job = {service: 'register', operation: 'posting'};

describe('API of the entry', () => {
	let platform: RunningPlatform;
	let entry: EntryProgram;
	let address: Address;

	async function call({method, path, token = 'token-alpha', key, body}: ApiCall): Promise<Reply> {
		const response = await request(`http://${formatAddress(address)}${path}`, {
			method,
			headers: {...(token === '' ? {} : {authorization: `Bearer ${token}`}), ...(key === undefined ? {} : {'idempotency-key': key})},
			body,
			headersTimeout: 15_000,
			bodyTimeout: 15_000,
		});
		return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
	}

	async function setFaults(faults: Record<string, unknown> | undefined): Promise<void> {
		const url = `http://${formatAddress(platform.address)}/v1/faults`;
		const response = faults === undefined
			? await request(url, {method: 'DELETE'})
			: await request(url, {method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(faults)});
		await response.body.dump();
		expect(response.statusCode).to.equal(200);
	}

	before(async () => {
		platform = await startPlatform();
		entry = new EntryProgram({
			listenAddress: {host: '127.0.0.1', port: 0},
			datagramAddress: {host: '127.0.0.1', port: 0},
			storeAddress: platform.address,
			region: 'sicily',
			failureDomain: 'palermo',
			sharedSecret: 'shared-secret',
			accountTokens: new Map([['alpha', 'token-alpha'], ['beta', 'token-beta']]),
			operatorTokens: new Map([['olga', 'token-olga'], ['mere', 'token-mere']]),
			statsdAddress: {host: '127.0.0.1', port: 9},
			storeTimeoutMs: 500,
			drainTimeoutMs: 1000,
			logLevel: 'error',
		}, process.env.AMARANTHSAIL_TEST_LOGS ? createLogger('entry') : silentLogger, () => undefined);
		address = await entry.start();
		for (const record of register) {
			const reply = await call({method: 'PUT', path: `/v1/records/${record.kind}/${record.name}`, token: 'token-olga', body: JSON.stringify({record})});
			expect(reply.status, JSON.stringify(reply.body)).to.equal(200);
		}

		const deadlineMs = performance.now() + 10_000;
		for (;;) {
			const ready = await call({method: 'GET', path: '/readyz'});
			if (ready.body.revision === register.length) {
				break;
			}

			expect(performance.now()).to.be.below(deadlineMs);
		}
	});

	after(async () => {
		await entry.drain();
		await platform.close();
	});

	afterEach(async () => {
		await setFaults(undefined);
	});

	const refusals: ReadonlyArray<{readonly name: string; readonly call: ApiCall; readonly status: number; readonly code: string; readonly outcome?: string}> = [
		{name: 'no token', call: {method: 'GET', path: '/v1/jobs', token: ''}, status: 401, code: 'unauthorized'},
		{name: 'an unknown token', call: {method: 'GET', path: '/v1/jobs', token: 'token-gamma'}, status: 401, code: 'unauthorized'},
		{name: 'an account on a route for operators', call: {method: 'GET', path: '/v1/records'}, status: 403, code: 'forbidden'},
		{name: 'an operator on a route for accounts', call: {method: 'GET', path: '/v1/jobs', token: 'token-olga'}, status: 403, code: 'forbidden'},
		{name: 'an unknown path', call: {method: 'GET', path: '/v2/jobs'}, status: 404, code: 'not_found'},
		{name: 'an unknown job', call: {method: 'GET', path: '/v1/jobs/none'}, status: 404, code: 'not_found', outcome: 'unknown'},
		{name: 'no idempotency key', call: {method: 'POST', path: '/v1/jobs', body: JSON.stringify(job)}, status: 400, code: 'missing_idempotency_key'},
		{name: 'a body that is not JSON', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: '{"service":'}, status: 400, code: 'malformed_body'},
		{name: 'an empty body', call: {method: 'POST', path: '/v1/jobs', key: 'k'}, status: 400, code: 'invalid_request'},
		{name: 'a body that is too large', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: `"${'x'.repeat(1_100_000)}"`}, status: 413, code: 'body_too_large'},
		{name: 'a field of a wrong type', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: JSON.stringify({...job, taskCount: '2'})}, status: 400, code: 'invalid_request'},
		{name: 'an unknown service', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: JSON.stringify({...job, service: 'other'})}, status: 422, code: 'unknown_service'},
		{name: 'a job that never fits', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: JSON.stringify({...job, shape: {slots: 60}})}, status: 422, code: 'never_fits'},
		{name: 'a wait that is too long', call: {method: 'POST', path: '/v1/jobs', key: 'k', body: JSON.stringify({...job, waitMs: 60_000})}, status: 400, code: 'invalid_request'},
		{name: 'an unknown kind of record', call: {method: 'GET', path: '/v1/records/Tenant', token: 'token-olga'}, status: 404, code: 'not_found'},
		{
			name: 'a record whose name is not that of the path',
			call: {method: 'PUT', path: '/v1/records/ClientAccount/other', token: 'token-olga', body: JSON.stringify({record: register.at(-1)})},
			status: 400,
			code: 'invalid_request',
		},
	];
	for (const {name, call: apiCall, status, code, outcome = 'not_run'} of refusals) {
		// Guards against a crash, a partly accepted request, and an error without code, outcome and message.
		it(`refuses ${name} as ${code}`, async () => {
			const reply = await call(apiCall);
			expect(reply.body).to.include({code, outcome});
			expect(reply.status).to.equal(status);
			expect(reply.body.message).to.be.a('string');
			expect(reply.body.retryable).to.be.a('boolean');
		});
	}

	// Guards against a second job for a retry, and against treating two different requests with one key as the same.
	it('finds the job of a retry and refuses another body with the same key', async () => {
		const first = await call({method: 'POST', path: '/v1/jobs', key: 'retry', body: JSON.stringify(job)});
		const second = await call({method: 'POST', path: '/v1/jobs', key: 'retry', body: JSON.stringify({...job, waitMs: 1})});
		const conflicting = await call({method: 'POST', path: '/v1/jobs', key: 'retry', body: JSON.stringify({...job, taskCount: 2})});
		expect([first.status, second.status, conflicting.status]).to.deep.equal([202, 200, 409]);
		expect(second.body.jobId).to.equal(first.body.jobId);
		expect(conflicting.body.code).to.equal('idempotency_conflict');
	});

	// Guards against one account reading or cancelling the job of another.
	it('shows a job to its own account only', async () => {
		const {body} = await call({method: 'POST', path: '/v1/jobs', key: 'own', body: JSON.stringify(job)});
		const path = `/v1/jobs/${String(body.jobId)}`;
		const own = await call({method: 'GET', path});
		expect(own.status).to.equal(200);
		for (const method of ['GET', 'DELETE'] as const) {
			const foreign = await call({method, path, token: 'token-beta'});
			expect(foreign.body).to.include({code: 'not_found'});
		}

		const listed = await call({method: 'GET', path: '/v1/jobs', token: 'token-beta'});
		expect(listed.body.jobs).to.deep.equal([]);
	});

	const storeCases: ReadonlyArray<{readonly name: string; readonly faults: Record<string, unknown>; readonly status: number; readonly code: string}> = [
		{name: 'is down', faults: {unavailable: true}, status: 503, code: 'store_unavailable'},
		{name: 'does not answer in time', faults: {latencyMs: 2000}, status: 503, code: 'store_unavailable'},
	];
	for (const {name, faults, status, code} of storeCases) {
		// Guards against the outcome `not_run` for a request that an earlier try may have stored.
		it(`reports an unknown outcome while the store ${name}`, async () => {
			await setFaults(faults);
			const reply = await call({method: 'POST', path: '/v1/jobs', key: `store ${name}`.replaceAll(' ', '-'), body: JSON.stringify(job)});
			expect(reply.body).to.include({code, outcome: 'unknown', retryable: true});
			expect(reply.status).to.equal(status);
		});
	}

	// Guards against reporting an accepted job as refused when the store's response to the write is lost.
	it('reads back an accepted job when the response to its write was lost', async () => {
		await setFaults({loseAnswersAfterEffect: true, operations: ['transact'], count: 1});
		const reply = await call({method: 'POST', path: '/v1/jobs', key: 'lost-answer', body: JSON.stringify(job)});
		expect(reply.body).to.include({state: 'waiting'});
		expect(reply.status).to.equal(202);
	});

	// Guards against a change that silently overwrites a value of another operator.
	it('reports field, owner and both values when operators conflict', async () => {
		const record = register.find(({kind, name}) => kind === 'ClientAccount' && name === 'alpha')!;
		const changed = {...record, spec: {weight: 9}};
		const path = '/v1/records/ClientAccount/alpha';
		const conflict = await call({method: 'PUT', path, token: 'token-mere', body: JSON.stringify({record: changed})});
		expect(conflict.status).to.equal(409);
		expect(conflict.body).to.deep.include({
			code: 'field_conflict',
			conflicts: [{field: 'weight', owner: 'olga', currentValue: 1, submittedValue: 9}],
		});
		const transferred = await call({method: 'PUT', path, token: 'token-mere', body: JSON.stringify({record: changed, takeOwnership: ['weight']})});
		expect(transferred.body).to.include({changed: true});
		const rejected = await call({method: 'PUT', path, token: 'token-olga', body: JSON.stringify({record})});
		expect(rejected.body).to.deep.include({conflicts: [{field: 'weight', owner: 'mere', currentValue: 9, submittedValue: 1}]});
	});
});
