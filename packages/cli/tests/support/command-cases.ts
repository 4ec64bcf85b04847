import type {Reply} from './fake-entry.js';

/** Builds a refusal of the API. */
export function refusalBody(code: string, outcome: string, rest: Readonly<Record<string, unknown>> = {}): Readonly<Record<string, unknown>> {
	return {
		code, message: 'a reason', retryable: false, outcome, ...rest,
	};
}

const conflictBody = refusalBody('field_conflict', 'not_run', {
	conflicts: [{
		field: 'weight', owner: 'ben', currentValue: 3, submittedValue: 2,
	}],
});

/** The reply to a submit in conflict. */
export const conflictReply: Reply = {status: 409, body: conflictBody};

/** The reply to an accepted submit. */
export const acceptedReply: Reply = {status: 200, body: {revision: 7, changed: true}};

/** Two records, the second of which has to be submitted first. */
export const account = {
	schemaVersion: 1, kind: 'ClientAccount', name: 'assets', spec: {weight: 2},
};
export const failureDomain = {
	schemaVersion: 1, kind: 'FailureDomain', name: 'catania', spec: {region: 'sicily', racks: {}},
};

/** Id of a job. */
export const jobId = 'a'.repeat(32);

const processId = '0b5f9c1e-7f0e-4a55-9a44-2c7ad3c1f0aa';
const view = {...account, revision: 3, fields: {weight: {owner: 'ada', revision: 3}}};
const recordUrl = '/v1/records/ClientAccount/assets';

/** A command, the reply it gets, the request it has to send, and how it ends. */
export type CommandCase = {
	/** RECORDS, INVALID and JOB stand for files. */
	readonly argumentTexts: readonly string[];
	readonly reply: Reply;
	readonly expected: {readonly method: string; readonly url: string; readonly body?: unknown};
	readonly code: number;
	readonly printed: RegExp;
};

function success(body: unknown): Reply {
	return {status: 200, body};
}

/** Every command with its usual answers. */
export const commandCases: readonly CommandCase[] = [
	{
		argumentTexts: ['diff', 'RECORDS'],
		reply: success([{index: 0, record: account, action: 'create', changes: [{field: 'weight', to: 2}]}]),
		expected: {method: 'POST', url: '/v1/records/diff', body: {records: [failureDomain, account]}},
		code: 0,
		printed: /ClientAccount\/assets: create\n {2}weight: \(none\) -> 2/v,
	},
	{
		argumentTexts: ['diff', 'RECORDS'],
		reply: success([{index: 0, record: account, action: 'refuse', changes: [], refusal: conflictBody}]),
		expected: {method: 'POST', url: '/v1/records/diff'},
		code: 5,
		printed: /weight: 3 by ben, submitted 2/v,
	},
	{
		argumentTexts: ['withdraw', 'ClientAccount/assets', '--take-ownership', 'weight', '--base-revision', '4'],
		reply: acceptedReply,
		expected: {method: 'DELETE', url: recordUrl, body: {baseRevision: 4, takeOwnership: ['weight']}},
		code: 0,
		printed: /accepted as revision 7/v,
	},
	{
		argumentTexts: ['withdraw', 'ClientAccount/assets'],
		reply: conflictReply,
		expected: {method: 'DELETE', url: recordUrl, body: {}},
		code: 5,
		printed: /weight: 3 by ben/v,
	},
	{
		argumentTexts: ['records', 'ClientAccount'],
		reply: success({revision: 9, records: [view]}),
		expected: {method: 'GET', url: '/v1/records'},
		code: 0,
		printed: /ClientAccount\/assets +1 +3 +ada/v,
	},
	{
		argumentTexts: ['records', 'ClientAccount/assets'],
		reply: success(view),
		expected: {method: 'GET', url: recordUrl},
		code: 0,
		printed: /weight: 2\n# weight: ada, revision 3/v,
	},
	{
		argumentTexts: ['records', 'ClientAccount/assets'],
		reply: {status: 404, body: refusalBody('record_not_found', 'not_run')},
		expected: {method: 'GET', url: recordUrl},
		code: 1,
		printed: /record_not_found: a reason/v,
	},
	{
		argumentTexts: ['records'],
		reply: success('cut off'),
		expected: {method: 'GET', url: '/v1/records'},
		code: 1,
		printed: /without a JSON object/v,
	},
	{
		argumentTexts: ['status'],
		reply: success({
			entries: [{
				processId, host: '127.0.0.1', port: 7400, failureDomain: 'catania', revision: 9, ready: true, answers: true, owned: [],
				workers: [{workerId: 'w1', failureDomain: 'palermo', revision: 8}],
			}],
			lowestRevisionInForce: 8,
			highestRevisionInForce: 9,
		}),
		expected: {method: 'GET', url: '/v1/status'},
		code: 0,
		printed: /revisions 8 to 9 in force\n[^\n]+\nentry +0b5f9c1e[^\n]+127\.0\.0\.1:7400 +catania +9 +ready\nagent +w1 +palermo +8/v,
	},
	{
		argumentTexts: ['drain', 'catania'],
		reply: success({}),
		expected: {method: 'POST', url: '/v1/drain', body: {failureDomain: 'catania'}},
		code: 0,
		printed: /catania: draining/v,
	},
	{
		argumentTexts: ['drain', processId],
		reply: success({}),
		expected: {method: 'POST', url: '/v1/drain', body: {processId}},
		code: 0,
		printed: /draining/v,
	},
	{
		argumentTexts: ['submit', 'JOB', '--wait-ms', '20'],
		reply: success({
			jobId, state: 'completed', outcome: 'completed', answer: {tasks: []},
		}),
		expected: {method: 'POST', url: '/v1/jobs', body: {service: 'register', operation: 'revaluation', waitMs: 20}},
		code: 0,
		printed: /outcome completed\n\{"tasks":\[\]\}/v,
	},
	{
		argumentTexts: ['submit', 'JOB'],
		reply: success({jobId, state: 'unknown', outcome: 'unknown'}),
		expected: {method: 'POST', url: '/v1/jobs', body: {service: 'register', operation: 'revaluation', waitMs: 5}},
		code: 3,
		printed: /outcome unknown/v,
	},
	...([
		[{status: 409, body: refusalBody('idempotency_conflict', 'not_run')}, 5, /idempotency_conflict/v],
		[{status: 429, body: refusalBody('overloaded', 'not_run')}, 1, /outcome not_run/v],
		[{status: 502, body: 'a proxy'}, 3, /outcome unknown/v],
		[success('cut off'), 3, /without a JSON object/v],
	] as const).map(([reply, code, printed]): CommandCase => ({
		argumentTexts: ['submit', 'JOB'], reply, expected: {method: 'POST', url: '/v1/jobs'}, code, printed,
	})),
	{
		argumentTexts: ['jobs'],
		reply: success({jobs: [{jobId, state: 'waiting'}]}),
		expected: {method: 'GET', url: '/v1/jobs'},
		code: 0,
		printed: /waiting/v,
	},
	{
		argumentTexts: ['job', jobId, '--wait-ms', '20'],
		reply: success({
			jobId, state: 'failed', outcome: 'failed', reason: {code: 'never_runs', message: 'three attempts'},
		}),
		expected: {method: 'GET', url: `/v1/jobs/${jobId}?waitMs=20`},
		code: 1,
		printed: /never_runs: three attempts/v,
	},
	{
		argumentTexts: ['answer', jobId],
		reply: success({total: 3}),
		expected: {method: 'GET', url: `/v1/jobs/${jobId}/answer`},
		code: 0,
		printed: /\{"total":3\}/v,
	},
	{
		argumentTexts: ['cancel', jobId],
		reply: success({jobId, state: 'cancelled'}),
		expected: {method: 'DELETE', url: `/v1/jobs/${jobId}`},
		code: 0,
		printed: /state cancelled/v,
	},
	{
		argumentTexts: ['cancel', jobId],
		reply: success({jobId, state: 'completed'}),
		expected: {method: 'DELETE', url: `/v1/jobs/${jobId}`},
		code: 0,
		printed: /not cancelled, already completed/v,
	},
	{
		argumentTexts: ['explain', jobId],
		reply: success({
			state: 'waiting', position: 2, summary: 'no rack is free', refusals: [{workerId: 'w1', because: 'accelerators'}],
		}),
		expected: {method: 'GET', url: `/v1/jobs/${jobId}/explain`},
		code: 0,
		printed: /position 2: no rack is free\n[^\n]+\nw1 +accelerators/v,
	},
];
