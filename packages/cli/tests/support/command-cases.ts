import type {Reply} from './fake-entry.js';

/** Builds the body of a refusal of the API. */
export function refusalBody(code: string, outcome: string, details: Readonly<Record<string, unknown>> = {}): Readonly<Record<string, unknown>> {
	return {
		code, message: 'a reason', retryable: false, outcome, ...details,
	};
}

const conflictBody = refusalBody('field_conflict', 'not_run', {
	conflicts: [{
		field: 'weight', owner: 'ben', currentValue: 3, submittedValue: 2,
	}],
});

/** Reply to a submitted record with a conflict. */
export const conflictReply: Reply = {status: 409, body: conflictBody};

/** Reply to an accepted record. */
export const acceptedReply: Reply = {status: 200, body: {revision: 7, changed: true}};

/** Two records, of which `failureDomain` has to be submitted first. */
export const account = {
	schemaVersion: 1, kind: 'ClientAccount', name: 'assets', spec: {weight: 2},
};
export const failureDomain = {
	schemaVersion: 1, kind: 'FailureDomain', name: 'catania', spec: {region: 'sicily', racks: {}},
};

/** A valid job id. */
export const jobId = 'a'.repeat(32);

const processId = '0b5f9c1e-7f0e-4a55-9a44-2c7ad3c1f0aa';
const view = {...account, revision: 3, fields: {weight: {owner: 'ada', revision: 3}}};
const recordUrl = '/v1/records/ClientAccount/assets';

/** A command, the reply to it, and the expected request, exit code and output. */
export type CommandCase = {
	/** Arguments of the command; RECORDS, INVALID and JOB are replaced by paths of files. */
	readonly cliArguments: readonly string[];
	readonly reply: Reply;
	readonly expectedRequest: {readonly method: string; readonly url: string; readonly body?: unknown};
	readonly exitCode: number;
	readonly outputPattern: RegExp;
};

function success(body: unknown): Reply {
	return {status: 200, body};
}

/** Every command with its typical replies. */
export const commandCases: readonly CommandCase[] = [
	{
		cliArguments: ['diff', 'RECORDS'],
		reply: success([{index: 0, record: account, action: 'create', changes: [{field: 'weight', to: 2}]}]),
		expectedRequest: {method: 'POST', url: '/v1/records/diff', body: {records: [failureDomain, account]}},
		exitCode: 0,
		outputPattern: /ClientAccount\/assets: create\n {2}weight: \(none\) -> 2/v,
	},
	{
		cliArguments: ['diff', 'RECORDS'],
		reply: success([{index: 0, record: account, action: 'refuse', changes: [], refusal: conflictBody}]),
		expectedRequest: {method: 'POST', url: '/v1/records/diff'},
		exitCode: 5,
		outputPattern: /weight: 3 by ben, submitted 2/v,
	},
	{
		cliArguments: ['withdraw', 'ClientAccount/assets', '--take-ownership', 'weight', '--base-revision', '4'],
		reply: acceptedReply,
		expectedRequest: {method: 'DELETE', url: recordUrl, body: {baseRevision: 4, takeOwnership: ['weight']}},
		exitCode: 0,
		outputPattern: /accepted as revision 7/v,
	},
	{
		cliArguments: ['withdraw', 'ClientAccount/assets'],
		reply: conflictReply,
		expectedRequest: {method: 'DELETE', url: recordUrl, body: {}},
		exitCode: 5,
		outputPattern: /weight: 3 by ben/v,
	},
	{
		cliArguments: ['records', 'ClientAccount'],
		reply: success({revision: 9, records: [view]}),
		expectedRequest: {method: 'GET', url: '/v1/records'},
		exitCode: 0,
		outputPattern: /ClientAccount\/assets +1 +3 +ada/v,
	},
	{
		cliArguments: ['records', 'ClientAccount/assets'],
		reply: success(view),
		expectedRequest: {method: 'GET', url: recordUrl},
		exitCode: 0,
		outputPattern: /weight: 2\n# weight: ada, revision 3/v,
	},
	{
		cliArguments: ['records', 'ClientAccount/assets'],
		reply: {status: 404, body: refusalBody('record_not_found', 'not_run')},
		expectedRequest: {method: 'GET', url: recordUrl},
		exitCode: 1,
		outputPattern: /record_not_found: a reason/v,
	},
	{
		cliArguments: ['records'],
		reply: success('cut off'),
		expectedRequest: {method: 'GET', url: '/v1/records'},
		exitCode: 1,
		outputPattern: /without a JSON object/v,
	},
	{
		cliArguments: ['status'],
		reply: success({
			entries: [{
				processId, host: '127.0.0.1', port: 7400, failureDomain: 'catania', revision: 9, ready: true, answers: true, owned: [],
				workers: [{workerId: 'w1', failureDomain: 'palermo', revision: 8}],
			}],
			lowestRevisionInForce: 8,
			highestRevisionInForce: 9,
		}),
		expectedRequest: {method: 'GET', url: '/v1/status'},
		exitCode: 0,
		outputPattern: /revisions 8 to 9 in force\n[^\n]+\nentry +0b5f9c1e[^\n]+127\.0\.0\.1:7400 +catania +9 +ready\nagent +w1 +palermo +8/v,
	},
	{
		cliArguments: ['drain', 'catania'],
		reply: success({}),
		expectedRequest: {method: 'POST', url: '/v1/drain', body: {failureDomain: 'catania'}},
		exitCode: 0,
		outputPattern: /catania: draining/v,
	},
	{
		cliArguments: ['drain', processId],
		reply: success({}),
		expectedRequest: {method: 'POST', url: '/v1/drain', body: {processId}},
		exitCode: 0,
		outputPattern: /draining/v,
	},
	{
		cliArguments: ['submit', 'JOB', '--wait-ms', '20'],
		reply: success({
			jobId, state: 'completed', outcome: 'completed', answer: {tasks: []},
		}),
		expectedRequest: {method: 'POST', url: '/v1/jobs', body: {service: 'register', operation: 'revaluation', waitMs: 20}},
		exitCode: 0,
		outputPattern: /outcome completed\n\{"tasks":\[\]\}/v,
	},
	{
		cliArguments: ['submit', 'JOB'],
		reply: success({jobId, state: 'unknown', outcome: 'unknown'}),
		expectedRequest: {method: 'POST', url: '/v1/jobs', body: {service: 'register', operation: 'revaluation', waitMs: 5}},
		exitCode: 3,
		outputPattern: /outcome unknown/v,
	},
	...([
		[{status: 409, body: refusalBody('idempotency_conflict', 'not_run')}, 5, /idempotency_conflict/v],
		[{status: 429, body: refusalBody('overloaded', 'not_run')}, 1, /outcome not_run/v],
		[{status: 502, body: 'a proxy'}, 3, /outcome unknown/v],
		[success('cut off'), 3, /without a JSON object/v],
	] as const).map(([reply, exitCode, outputPattern]): CommandCase => ({
		cliArguments: ['submit', 'JOB'], reply, expectedRequest: {method: 'POST', url: '/v1/jobs'}, exitCode, outputPattern,
	})),
	{
		cliArguments: ['jobs'],
		reply: success({jobs: [{jobId, state: 'waiting'}]}),
		expectedRequest: {method: 'GET', url: '/v1/jobs'},
		exitCode: 0,
		outputPattern: /waiting/v,
	},
	{
		cliArguments: ['job', jobId, '--wait-ms', '20'],
		reply: success({
			jobId, state: 'failed', outcome: 'failed', reason: {code: 'never_runs', message: 'three attempts'},
		}),
		expectedRequest: {method: 'GET', url: `/v1/jobs/${jobId}?waitMs=20`},
		exitCode: 1,
		outputPattern: /never_runs: three attempts/v,
	},
	{
		cliArguments: ['answer', jobId],
		reply: success({total: 3}),
		expectedRequest: {method: 'GET', url: `/v1/jobs/${jobId}/answer`},
		exitCode: 0,
		outputPattern: /\{"total":3\}/v,
	},
	{
		cliArguments: ['cancel', jobId],
		reply: success({jobId, state: 'cancelled'}),
		expectedRequest: {method: 'DELETE', url: `/v1/jobs/${jobId}`},
		exitCode: 0,
		outputPattern: /state cancelled/v,
	},
	{
		cliArguments: ['cancel', jobId],
		reply: success({jobId, state: 'completed'}),
		expectedRequest: {method: 'DELETE', url: `/v1/jobs/${jobId}`},
		exitCode: 0,
		outputPattern: /not cancelled, already completed/v,
	},
	{
		cliArguments: ['explain', jobId],
		reply: success({
			state: 'waiting', position: 2, summary: 'no rack is free', refusals: [{workerId: 'w1', because: 'accelerators'}],
		}),
		expectedRequest: {method: 'GET', url: `/v1/jobs/${jobId}/explain`},
		exitCode: 0,
		outputPattern: /position 2: no rack is free\n[^\n]+\nw1 +accelerators/v,
	},
];
