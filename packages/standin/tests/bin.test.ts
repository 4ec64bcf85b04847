import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {parseAddress} from '@amaranthsail/core';
import {fetchJson} from './fetch-json.js';
import {waitUntil} from './wait-until.js';

const BIN = fileURLToPath(import.meta.resolve('@amaranthsail/standin/bin.js'));
const LIMIT_MS = 10_000;

type Program = {readonly child: ChildProcess; stdout: string; stderr: string; readonly exit: Promise<unknown[]>};

function startProgram(...flags: readonly string[]): Program {
	const child = spawn(process.execPath, [BIN, ...flags], {timeout: LIMIT_MS, stdio: ['ignore', 'pipe', 'pipe']});
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

async function readyLine(program: Program): Promise<Readonly<Record<string, string>>> {
	await waitUntil(() => program.stderr.includes('\n'));
	return JSON.parse(program.stderr.split('\n', 1)[0]!) as Record<string, string>;
}

describe('amaranthsail-standin', () => {
	// Guards against a role that prints no address, does not serve, or does not end on SIGTERM.
	for (const [role, path] of [['platform', '/v1/counters'], ['worker', '/v1/executions'], ['all', '/v1/counters']] as const) {
		it(`serves the role ${role} until SIGTERM and exits 0`, async () => {
			const program = startProgram('--role', role, '--services', 'register');
			try {
				const line = await readyLine(program);
				expect(line.message).to.equal('ready');
				const address = parseAddress(line.address!)!;
				for (const served of [path, '/healthz', '/readyz']) {
					expect(await fetchJson(address, 'GET', served)).to.include({status: 200});
				}
			} finally {
				program.child.kill('SIGTERM');
			}

			expect(await program.exit).to.deep.equal([0, null]); // Exit code and signal.
		});
	}

	// Guards against settings that are read differently from what the help says.
	for (const {title, flags, code, output} of [
		{title: 'prints its help', flags: ['--help'], code: 0, output: /--fail-everything/v},
		{title: 'prints its version', flags: ['--version'], code: 0, output: /^\d+\.\d+\.\d+$/mv},
		{title: 'names wrong settings', flags: ['--role', 'x', '--capacity', '{}'], code: 2, output: /--role[^\n]*\n[^\n]*--capacity/v},
	]) {
		it(title, async () => {
			const program = startProgram(...flags);
			const [exitCode] = await program.exit;
			expect(exitCode).to.equal(code);
			expect(program.stdout + program.stderr).to.match(output);
		});
	}
});
