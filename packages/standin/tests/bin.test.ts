import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {formatAddress, parseAddress} from '@amaranthsail/core';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';
import {createAssignment} from './contracts/worker-runtime-cases.js';
import {fetchJson} from './fetch-json.js';
import {waitUntil} from './wait-until.js';
import {startPlatform} from '@amaranthsail/standin';

const BIN = fileURLToPath(import.meta.resolve('@amaranthsail/standin/bin.js'));
const PROGRAM_TIMEOUT_MS = 10_000;

type Program = {readonly child: ChildProcess; stdout: string; stderr: string; readonly exit: Promise<unknown[]>};

function startProgram(...flags: readonly string[]): Program {
	const child = spawn(process.execPath, [BIN, ...flags], {timeout: PROGRAM_TIMEOUT_MS, stdio: ['ignore', 'pipe', 'pipe']});
	const program: Program = {
		child, stdout: '', stderr: '', exit: once(child, 'close'),
	};
	child.stdout.on('data', (data: Uint8Array) => {
		program.stdout += data.toString();
	});
	child.stderr.on('data', (data: Uint8Array) => {
		program.stderr += data.toString();
	});
	return program;
}

async function readReadyLine(program: Program): Promise<Readonly<Record<string, string>>> {
	await waitUntil(() => program.stderr.includes('\n'));
	return JSON.parse(program.stderr.split('\n', 1)[0]!) as Record<string, string>;
}

describe('amaranthsail-standin', () => {
	// Guards against a role that logs no address, does not serve requests, or does not exit on SIGTERM.
	for (const [role, path] of [['platform', '/v1/counters'], ['worker', '/v1/executions'], ['all', '/v1/counters']] as const) {
		it(`serves the role ${role} until SIGTERM and exits 0`, async () => {
			const program = startProgram('--role', role, '--services', 'register');
			try {
				const line = await readReadyLine(program);
				expect(line.message).to.equal('ready');
				const address = parseAddress(line.address!)!;
				for (const servedPath of [path, '/healthz', '/readyz']) {
					expect(await fetchJson(address, 'GET', servedPath)).to.include({status: 200});
				}
			} finally {
				program.child.kill('SIGTERM');
			}

			expect(await program.exit).to.deep.equal([0, null]); // Exit code and signal.
		});
	}

	// Guards against a program that keeps running without serving requests when its port is in use.
	it('exits 1 with a log line when it cannot listen', async () => {
		const otherPlatform = await startPlatform();
		const program = startProgram('--role', 'worker', '--address', formatAddress(otherPlatform.address));
		const [exitCode] = await program.exit;
		await otherPlatform.close();
		expect(exitCode).to.equal(1);
		expect(JSON.parse(program.stderr)).to.include({level: 'error', message: 'cannot start'});
	});

	// Guards against a flag without a value that is treated as absent.
	it('takes --fail-everything without a value', async () => {
		const program = startProgram('--role', 'worker', '--fail-everything', '--rack', 'rack-7');
		try {
			const line = await readReadyLine(program);
			const runtime = new HttpWorkerRuntime({address: parseAddress(line.address!)!});
			const started = await runtime.start({jobId: 'j', attempt: 1, taskIndex: 0}, createAssignment({}), Number.MAX_SAFE_INTEGER);
			await runtime.close();
			expect(started.ok && started.value.reason).to.equal('worker_failed');
		} finally {
			program.child.kill('SIGTERM');
		}

		await program.exit;
	});

	// Guards against flags that do not behave as the help describes.
	for (const {title, flags, code, output} of [
		{title: 'prints its help', flags: ['--help'], code: 0, output: /--fail-everything/v},
		{title: 'prints its version', flags: ['--version'], code: 0, output: /^\d+\.\d+\.\d+$/mv},
		{title: 'names invalid settings', flags: ['--role', 'x', '--capacity', '{}'], code: 2, output: /--role[^\n]*\n[^\n]*--capacity/v},
	]) {
		it(title, async () => {
			const program = startProgram(...flags);
			const [exitCode] = await program.exit;
			expect(exitCode).to.equal(code);
			expect(program.stdout + program.stderr).to.match(output);
		});
	}
});
