import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {
	acceptedReply, account, commandCases, conflictReply, failureDomain, jobId, refusalBody,
} from './support/command-cases.js';
import {amaranthsail, ReplyingEntry, type Received, type Reply, type Run} from './support/fake-entry.js';

describe('amaranthsail', () => {
	let directory = '';
	/** Paths of the files that the cases name. */
	const files = new Map<string, string>();
	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'amaranthsail-cli-'));
		const contents = {
			RECORDS: [account, failureDomain],
			INVALID: {...account, spec: {weight: 'much'}},
			JOB: {service: 'register', operation: 'revaluation', waitMs: 5},
		};
		for (const [name, content] of Object.entries(contents)) {
			files.set(name, path.join(directory, `${name}.json`));
			await writeFile(files.get(name)!, JSON.stringify(content));
		}
	});
	after(async () => {
		await rm(directory, {recursive: true});
	});

	async function runProgram(argumentTexts: readonly string[], input?: string): Promise<Run> {
		return amaranthsail(argumentTexts.map(text => files.get(text) ?? text), input);
	}

	async function runAgainst(replies: readonly Reply[], argumentTexts: readonly string[], input?: string): Promise<Run & {received: Received[][]}> {
		const entries = replies.map(reply => new ReplyingEntry(reply));
		await Promise.all(entries.map(async entry => entry.start()));
		try {
			const addresses = entries.map(({address}) => address).join(',');
			const run = await runProgram([...argumentTexts, '--entry-addresses', addresses, '--token', 'secret'], input);
			return {...run, received: entries.map(({received}) => received)};
		} finally {
			await Promise.all(entries.map(async entry => entry.stop()));
		}
	}

	for (const {argumentTexts, reply, expected, code, printed} of commandCases) {
		it(`${argumentTexts.join(' ')} ends with ${code}`, async () => {
			const run = await runAgainst([reply], argumentTexts);
			expect(run.code, run.stderr).to.equal(code);
			expect(run.stdout + run.stderr).to.match(printed);
			expect(run.received[0]![0]).to.deep.include(expected);
			expect(run.received[0]![0]!.headers.authorization).to.equal('Bearer secret');
		});
	}

	it('applies every record, referenced ones first, and passes on the fields taken over', async () => {
		const run = await runAgainst([acceptedReply], ['apply', 'RECORDS', '--take-ownership', 'ClientAccount/assets:weight']);
		expect(run.received[0]!.map(({url, body}) => [url, body])).to.deep.equal([
			['/v1/records/FailureDomain/catania', {record: failureDomain}],
			['/v1/records/ClientAccount/assets', {record: account, takeOwnership: ['weight']}],
		]);
		expect([run.code, run.stdout]).to.deep.equal([0, 'FailureDomain/catania: accepted as revision 7\nClientAccount/assets: accepted as revision 7\n']);
	});

	it('reports every conflict of an apply and goes on', async () => {
		const run = await runAgainst([conflictReply], ['apply', 'RECORDS', '--json']);
		const output = JSON.parse(run.stdout) as {results: Array<{record: string; exitCode: number}>};
		expect([run.code, output.results.map(({exitCode}) => exitCode)]).to.deep.equal([5, [5, 5]]);
	});

	it('stops an apply whose outcome is unknown and names what was skipped', async () => {
		const run = await runAgainst(['hang_up'], ['apply', 'RECORDS']);
		expect([run.code, run.stderr]).to.satisfy(([code, text]: [number, string]) => code === 3 && text.includes('ClientAccount/assets: skipped'));
	});

	// Guards against "not run" after a try that may have taken effect.
	const retries: ReadonlyArray<readonly [string, readonly Reply[], number, RegExp]> = [
		['the next entry after a hang-up', ['hang_up', {status: 200, body: {jobId, state: 'waiting'}}], 0, /waiting/v],
		['a refusal after a hang-up as an unknown outcome', ['hang_up', {status: 429, body: refusalBody('overloaded', 'not_run')}], 3, /outcome unknown/v],
		['an entry that cannot serve now by the next one', [{status: 503, body: refusalBody('not_ready', 'not_run')}, {status: 200, body: {jobId, state: 'waiting'}}], 0, /waiting/v],
		['no answer at all as an unknown outcome', ['hang_up', 'hang_up'], 3, /may have taken effect/v],
		['an unavailable entry after a hang-up as an unknown outcome', ['hang_up', {status: 503, body: refusalBody('store_unavailable', 'not_run')}], 3, /outcome unknown/v],
		['an unavailable entry before a hang-up as an unknown outcome', [{status: 503, body: refusalBody('store_unavailable', 'not_run')}, 'hang_up'], 3, /outcome unknown/v],
		['a store outage as a refusal', [{status: 503, body: refusalBody('store_unavailable', 'not_run')}], 1, /outcome not_run/v],
	];
	for (const [title, replies, code, printed] of retries) {
		it(`takes ${title}`, async () => {
			const run = await runAgainst(replies, ['submit', 'JOB', '--idempotency-key', 'key-1']);
			expect(run.code, run.stderr).to.equal(code);
			expect(run.stdout + run.stderr).to.match(printed);
			expect(new Set(run.received.flat().map(({headers}) => headers['idempotency-key']))).to.deep.equal(new Set(['key-1']));
		});
	}

	it('names the tries when no entry can be reached', async () => {
		const entry = new ReplyingEntry(acceptedReply);
		await entry.start();
		const {address} = entry;
		await entry.stop();
		const run = await runProgram(['submit', 'JOB', '--json', '--entry-addresses', address]);
		expect([run.code, JSON.parse(run.stdout)]).to.deep.include(4);
		expect(run.stdout).to.include(address).and.not.include('not_run');
	});

	it('takes entry addresses and token from the environment', async () => {
		const entry = new ReplyingEntry({status: 200, body: {jobs: []}});
		await entry.start();
		try {
			const run = await amaranthsail(['jobs'], '', {AMARANTHSAIL_ENTRY_ADDRESSES: entry.address, AMARANTHSAIL_TOKEN: 'from-environment'});
			expect([run.code, entry.received[0]?.headers.authorization]).to.deep.equal([0, 'Bearer from-environment']);
		} finally {
			await entry.stop();
		}
	});

	it('reads a job from standard input', async () => {
		const run = await runAgainst([{status: 202, body: {jobId, state: 'waiting'}}], ['submit', '-', '--json'], 'service: register\noperation: revaluation\n');
		expect([run.code, run.received[0]![0]!.body]).to.deep.equal([0, {service: 'register', operation: 'revaluation'}]);
		expect(JSON.parse(run.stdout)).to.include({jobId}).and.have.property('idempotencyKey');
	});

	const usageErrors: ReadonlyArray<readonly [string, readonly string[], RegExp]> = [
		['no entry addresses', ['status'], /entry-addresses/v],
		['a wrong entry address with JSON output', ['status', '--json', '--entry-addresses', 'nowhere'], /expected host:port/v],
		['a wrong entry address', ['status', '--entry-addresses', 'nowhere'], /expected host:port/v],
		['an unknown command', ['launch'], /launch/v],
		['an unknown flag', ['status', '--entry-addresses', '127.0.0.1:1', '--loud'], /loud/v],
		['an invalid record', ['apply', 'INVALID', '--entry-addresses', '127.0.0.1:1'], /document 1:[\s\S]*spec\.weight: expected number/v],
		['a missing file', ['diff', 'no-such-file.yaml', '--entry-addresses', '127.0.0.1:1'], /cannot read/v],
		['a stray ownership', ['apply', 'RECORDS', '--take-ownership', 'Policy/p:weights', '--entry-addresses', '127.0.0.1:1'], /Policy\/p, which is not in the files/v],
		['a record id without name', ['withdraw', 'ClientAccount', '--entry-addresses', '127.0.0.1:1'], /expected KIND\/NAME/v],
	];
	for (const [title, argumentTexts, message] of usageErrors) {
		it(`ends with 2 for ${title}`, async () => {
			const run = await runProgram(argumentTexts);
			expect(run.code).to.equal(2);
			expect((run.stdout + run.stderr).replaceAll(/\n +›? */gv, ' ')).to.match(message);
		});
	}
});
