import {expect} from 'chai';
import fc from 'fast-check';
import {JsonClient} from '@amaranthsail/core';
import {
	decodeIncarnationRow, decodeJobRow, decodeLeaderRow, decodeMemberRow, decodeRunRow, decodeSpeedsRow,
} from '@amaranthsail/pool';
import {
	decodeAnnounceRequest, decodeOrderAnswer, decodeOrderRequest, decodeWatchAnswer, decodeWatchRequest,
} from '@amaranthsail/pool-agent';
import {decoded, serveJson} from '@amaranthsail/pool-runtime';
import {
	decodeHelloAnswer, decodeHelloRequest, decodeJobStateAnswer, decodeJobStateRequest, decodeRelayOutcome, decodeRelayRequest, decodeStoredNotice, decodeStoredRow,
} from '@amaranthsail/pool-entry/peer-message-decoding.js';

const INPUTS_PER_DECODER = 2000;

const JOB_ROW = {
	queue: 'q', account: 'a', acceptedAtMs: 1, spec: {payload: '', steps: [{taskCount: 1, shape: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, estimatedMs: 1, after: []}]},
};

const FACTS = {
	life: 'w@1', id: 'w', service: 's', failureDomain: 'd', state: 'ready', capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: ['a'],
};

/** Each decoder with a message that it accepts. */
const decoders: ReadonlyArray<{readonly title: string; readonly decode: (value: unknown) => unknown; readonly valid: Record<string, unknown>}> = [
	{title: 'job row', decode: decodeJobRow, valid: JOB_ROW},
	{title: 'run row', decode: decodeRunRow, valid: {run: 2, life: 'w@1', failures: 1, checkpoint: 'c'}},
	{title: 'leader row', decode: decodeLeaderRow, valid: {holder: 'h', address: 'h:1', epoch: 3, commit: 4}},
	{title: 'member row', decode: decodeMemberRow, valid: {address: 'h:1'}},
	{title: 'speeds row', decode: decodeSpeedsRow, valid: {workers: {w1: [0.5, 10]}}},
	{title: 'incarnation row', decode: decodeIncarnationRow, valid: {life: 'w@1'}},
	{title: 'hello request', decode: decodeHelloRequest, valid: {address: 'h:1', epoch: 1, configRowVersion: 2, failureDomain: 'd', cores: 1}},
	{title: 'hello answer', decode: decodeHelloAnswer, valid: {epoch: 1, isLeading: true, configRowVersion: 2, configBehindMs: 10, entries: ['h:1'], pending: {q: 1}, isDeputy: true, largestCores: 1}},
	{title: 'job state request', decode: decodeJobStateRequest, valid: {jobId: 'j'}},
	{title: 'job state answer', decode: decodeJobStateAnswer, valid: {isLeading: true, state: 'running', account: 'a'}},
	{title: 'stored notice', decode: decodeStoredNotice, valid: {jobId: 'j', row: JOB_ROW}},
	{title: 'relay request', decode: decodeRelayRequest, valid: {kind: 'submit', jobId: 'j', row: JOB_ROW, configRowVersion: 1, budgetMs: 10}},
	{title: 'relay outcome', decode: decodeRelayOutcome, valid: {kind: 'state', state: 'running'}},
	{title: 'stored row', decode: decodeStoredRow, valid: {table: 't', key: 'k', version: 1, isRemoved: false, value: {}}},
	{title: 'watch request', decode: decodeWatchRequest, valid: {epoch: 1, sinceVersion: -1, waitMs: 1, life: 'w@1', leaseUntilMs: 1, ackSequence: 1}},
	{
		title: 'watch answer', decode: decodeWatchAnswer, valid: {
			incarnation: 'a/1', version: 1, leftLives: [], report: {
				facts: FACTS, lists: {
					clockMs: 1, ageMs: 1, ordersBefore: 1, running: [{task: 't', run: 1, checkpoint: '', percent: 1}], ended: [{sequence: 1, task: 't', run: 1, outcome: 'done', checkpoint: ''}],
				},
			},
		},
	},
	{title: 'order request', decode: decodeOrderRequest, valid: {epoch: 1, life: 'w@1', order: {kind: 'stop', task: 't', run: 1}}},
	{title: 'order answer', decode: decodeOrderAnswer, valid: {outcome: {kind: 'refused', reason: 'late'}, orderCount: 1}},
	{title: 'announcement', decode: decodeAnnounceRequest, valid: {agent: 'a', address: 'h:1'}},
];

describe('decoders of messages between the processes and of stored rows', () => {
	for (const {title, decode, valid} of decoders) {
		it(`accept a valid ${title}, and never fail on another`, () => {
			expect(decode(valid)).to.not.equal(undefined);
			fc.assert(fc.property(fc.jsonValue({maxDepth: 4}), value => {
				decode(value);
			}), {numRuns: INPUTS_PER_DECODER});
			// Valid except for one field, also within nested objects.
			fc.assert(fc.property(fc.constantFrom(...Object.keys(valid)), fc.jsonValue({maxDepth: 3}), (field, value) => {
				decode({...valid, [field]: value});
			}), {numRuns: INPUTS_PER_DECODER});
		});
	}
});

describe('decodeHelloRequest', () => {
	it('accepts the call of an entry of an earlier release', () => {
		expect(decodeHelloRequest({address: 'h:1', epoch: 1, configRowVersion: 2})).to.deep.equal({
			address: 'h:1', epoch: 1, configRowVersion: 2, failureDomain: '', cores: 0,
		});
	});
});

describe('serveJson', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly path: string; readonly body: unknown; readonly status: number; readonly errors: number}> = [
		{title: 'answers a malformed request with 400', path: '/checked', body: {jobId: 7}, status: 400, errors: 0},
		{title: 'answers a body that is no object with 400', path: '/checked', body: 7, status: 400, errors: 0},
		{title: 'answers a request whose handler fails with 500, and records the error', path: '/failing', body: {}, status: 500, errors: 1},
		{title: 'answers a request whose handler rejects with 500, and records the error', path: '/rejecting', body: {}, status: 500, errors: 1},
	];
	for (const {title, path, body, status, errors} of cases) {
		it(`${title}, and serves the next request`, async () => {
			const failures: string[] = [];
			const server = await serveJson('127.0.0.1:0', {
				'/checked': decoded(decodeJobStateRequest, () => ({status: 200, body: {}})),
				'/failing'() {
					throw new TypeError('planted');
				},
				async '/rejecting'() {
					throw new TypeError('planted');
				},
			}, failedPath => {
				failures.push(failedPath);
			});
			const address = server.address();
			const client = new JsonClient(`127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`);
			const first = await client.call({method: 'POST', path, body, timeoutMs: 1000});
			const second = await client.call({method: 'POST', path: '/checked', body: {jobId: 'j'}, timeoutMs: 1000});
			client.close();
			server.close();
			expect(first.ok && first.value.status).to.equal(status);
			expect(failures).to.have.length(errors);
			expect(second.ok && second.value.status).to.equal(200);
		});
	}
});

describe('JsonClient', () => {
	for (const address of ['', 'host', 'host:', 'host:port', 'host:70000']) {
		it(`sends nothing to the address "${address}"`, async () => {
			const answer = await new JsonClient(address).call({method: 'GET', path: '/', timeoutMs: 100});
			expect(!answer.ok && answer.error.kind).to.equal('not_sent');
		});
	}
});
