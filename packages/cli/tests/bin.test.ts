import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {
	acceptedReply, account, commandCases, conflictReply, failureDomain, jobId, refusalBody,
} from './support/command-cases.js';
import {runCli, FakeEntry, type ReceivedRequest, type Reply, type CliRun} from './support/fake-entry.js';

describe('amaranthsail', () => {
	let directory = '';
	/** Paths of the test files by the name that the cases use. */
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

	async function runProgram(cliArguments: readonly string[], input?: string): Promise<CliRun> {
		return runCli(cliArguments.map(text => files.get(text) ?? text), input);
	}

	async function runAgainst(replies: readonly Reply[], cliArguments: readonly string[], input?: string): Promise<CliRun & {received: ReceivedRequest[][]}> {
		const entries = replies.map(reply => new FakeEntry(reply));
		await Promise.all(entries.map(async entry => entry.start()));
		try {
			const addresses = entries.map(({address}) => address).join(',');
			const run = await runProgram([...cliArguments, '--entry-addresses', addresses, '--token', 'secret'], input);
			return {...run, received: entries.map(({received}) => received)};
		} finally {
			await Promise.all(entries.map(async entry => entry.stop()));
		}
	}

	for (const {cliArguments, reply, expectedRequest, exitCode, outputPattern} of commandCases) {
		it(`${cliArguments.join(' ')} exits with ${exitCode}`, async () => {
			const run = await runAgainst([reply], cliArguments);
			expect(run.code, run.stderr).to.equal(exitCode);
			expect(run.stdout + run.stderr).to.match(outputPattern);
			expect(run.received[0]![0]).to.deep.include(expectedRequest);
			expect(run.received[0]![0]!.headers.authorization).to.equal('Bearer secret');
		});
	}

	it('applies every record, referenced ones first, and forwards --take-ownership', async () => {
		const run = await runAgainst([acceptedReply], ['apply', 'RECORDS', '--take-ownership', 'ClientAccount/assets:weight']);
		expect(run.received[0]!.map(({url, body}) => [url, body])).to.deep.equal([
			['/v1/records/FailureDomain/catania', {record: failureDomain}],
			['/v1/records/ClientAccount/assets', {record: account, takeOwnership: ['weight']}],
		]);
		expect([run.code, run.stdout]).to.deep.equal([0, 'FailureDomain/catania: accepted as revision 7\nClientAccount/assets: accepted as revision 7\n']);
	});

	it('reports every conflict of an apply and continues', async () => {
		const run = await runAgainst([conflictReply], ['apply', 'RECORDS', '--json']);
		const output = JSON.parse(run.stdout) as {results: Array<{record: string; exitCode: number}>};
		expect([run.code, output.results.map(({exitCode}) => exitCode)]).to.deep.equal([5, [5, 5]]);
	});

	it('stops an apply after an unknown outcome and lists the skipped records', async () => {
		const run = await runAgainst(['disconnect'], ['apply', 'RECORDS']);
		expect([run.code, run.stderr]).to.satisfy(([code, text]: [number, string]) => code === 3 && text.includes('ClientAccount/assets: skipped'));
	});

	// Guards against reporting "not run" after a request that may have taken effect.
	const failoverCases: ReadonlyArray<readonly [string, readonly Reply[], number, RegExp]> = [
		['falls back to the next entry after a closed connection', ['disconnect', {status: 200, body: {jobId, state: 'waiting'}}], 0, /waiting/v],
		['reports a refusal after a closed connection as an unknown outcome', ['disconnect', {status: 429, body: refusalBody('overloaded', 'not_run')}], 3, /outcome unknown/v],
		['falls back to the next entry after an unavailable one', [{status: 503, body: refusalBody('not_ready', 'not_run')}, {status: 200, body: {jobId, state: 'waiting'}}], 0, /waiting/v],
		['reports no response at all as an unknown outcome', ['disconnect', 'disconnect'], 3, /may have taken effect/v],
		['reports an unavailable entry after a closed connection as an unknown outcome', ['disconnect', {status: 503, body: refusalBody('store_unavailable', 'not_run')}], 3, /outcome unknown/v],
		['reports an unavailable entry before a closed connection as an unknown outcome', [{status: 503, body: refusalBody('store_unavailable', 'not_run')}, 'disconnect'], 3, /outcome unknown/v],
		['reports a store outage as a refusal', [{status: 503, body: refusalBody('store_unavailable', 'not_run')}], 1, /outcome not_run/v],
	];
	for (const [title, replies, exitCode, outputPattern] of failoverCases) {
		it(`with failing entries, ${title}`, async () => {
			const run = await runAgainst(replies, ['submit', 'JOB', '--idempotency-key', 'key-1']);
			expect(run.code, run.stderr).to.equal(exitCode);
			expect(run.stdout + run.stderr).to.match(outputPattern);
			expect(new Set(run.received.flat().map(({headers}) => headers['idempotency-key']))).to.deep.equal(new Set(['key-1']));
		});
	}

	it('lists the failed requests when no entry can be reached', async () => {
		const entry = new FakeEntry(acceptedReply);
		await entry.start();
		const {address} = entry;
		await entry.stop();
		const run = await runProgram(['submit', 'JOB', '--json', '--entry-addresses', address]);
		expect([run.code, JSON.parse(run.stdout)]).to.deep.include(4);
		expect(run.stdout).to.include(address).and.not.include('not_run');
	});

	it('reads entry addresses and token from the environment', async () => {
		const entry = new FakeEntry({status: 200, body: {jobs: []}});
		await entry.start();
		try {
			const run = await runCli(['jobs'], '', {AMARANTHSAIL_ENTRY_ADDRESSES: entry.address, AMARANTHSAIL_TOKEN: 'from-environment'});
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
		['an invalid entry address with JSON output', ['status', '--json', '--entry-addresses', 'nowhere'], /expected host:port/v],
		['an invalid entry address', ['status', '--entry-addresses', 'nowhere'], /expected host:port/v],
		['an unknown command', ['launch'], /launch/v],
		['an unknown flag', ['status', '--entry-addresses', '127.0.0.1:1', '--loud'], /loud/v],
		['an invalid record', ['apply', 'INVALID', '--entry-addresses', '127.0.0.1:1'], /document 1:[\s\S]*spec\.weight: expected number/v],
		['a missing file', ['diff', 'no-such-file.yaml', '--entry-addresses', '127.0.0.1:1'], /cannot read/v],
		['--take-ownership of a record outside the files', ['apply', 'RECORDS', '--take-ownership', 'Policy/p:weights', '--entry-addresses', '127.0.0.1:1'], /Policy\/p, which is not in the files/v],
		['a record id without a name', ['withdraw', 'ClientAccount', '--entry-addresses', '127.0.0.1:1'], /expected KIND\/NAME/v],
	];
	for (const [title, cliArguments, message] of usageErrors) {
		it(`exits with 2 for ${title}`, async () => {
			const run = await runProgram(cliArguments);
			expect(run.code).to.equal(2);
			expect((run.stdout + run.stderr).replaceAll(/\n +›? */gv, ' ')).to.match(message);
		});
	}
});
