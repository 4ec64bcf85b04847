import {spawn} from 'node:child_process';
import {once} from 'node:events';
import http from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ANNOUNCEMENT_INTERVAL_MS, integerSetting, readSettings, type SettingDefinition, type SettingsOf} from '@amaranthsail/core';
import {SimulatedPeers} from './simulated-peers.js';
import {readProcessUse} from './process-use.js';

const PROGRAM = 'measure';
const SHARED_SECRET = 'measuring secret';
const START_TIMEOUT_MS = 15_000;

const nodeFlagsSetting: SettingDefinition<readonly string[]> = {
	description: 'Flags of Node.js for the agent.',
	// Same flags as in the first line of bin.ts.
	defaultText: '--max-semi-space-size=1 --optimize-for-size',
	expected: 'flags separated by spaces',
	parse: text => text.split(' ').filter(flag => flag !== ''),
};

const taskCountsSetting: SettingDefinition<readonly number[]> = {
	description: 'Task counts to measure with, in non-decreasing order; a repeated count shows changes over time.',
	defaultText: '0,4,8',
	expected: 'numbers from 0 to 8 separated by commas',
	parse(text) {
		const counts = text.split(',').map(Number);
		return counts.every(count => Number.isInteger(count) && count >= 0 && count <= 8) ? counts : undefined;
	},
};

const SETTINGS = {
	seconds: integerSetting('Length of each measurement.', [1, 600], 20),
	settleSeconds: integerSetting('Time before each measurement.', [0, 600], 5),
	nodeFlags: nodeFlagsSetting,
	taskCounts: taskCountsSetting,
	httpPort: integerSetting('HTTP port of the agent.', [1024, 65_535], 17_410),
};

async function announce(port: number): Promise<void> {
	const request = http.request({
		host: '127.0.0.1', port, path: '/v1/announcements', method: 'POST', agent: false,
	});
	request.on('error', () => {
		// The agent may not listen yet; announcements are sent repeatedly.
	});
	request.on('response', response => {
		response.resume();
	});
	request.end(JSON.stringify({endpointId: 'endpoint-1', service: 'service', leaving: false}));
}

async function startTasks(peers: SimulatedPeers, count: number): Promise<void> {
	const signal = AbortSignal.timeout(START_TIMEOUT_MS);
	while (peers.count('running') < count) {
		for (let index = 0; index < count; index++) {
			peers.command('prepare', index);
		}

		await peers.nextHeartbeat(signal);
		if (peers.count('prepared') + peers.count('running') === count) {
			for (let index = 0; index < count; index++) {
				peers.command('release', index);
			}
		}
	}
}

async function measure({
	seconds, settleSeconds, nodeFlags, taskCounts, httpPort,
}: SettingsOf<typeof SETTINGS>): Promise<void> {
	const peers = new SimulatedPeers(SHARED_SECRET);
	const port = await peers.start();
	const address = `127.0.0.1:${port}`;
	const agent = spawn(process.execPath, [...nodeFlags, fileURLToPath(new URL('bin.js', import.meta.url))], {
		env: {
			AMARANTHSAIL_WORKER_ID: 'worker-1',
			AMARANTHSAIL_FAILURE_DOMAIN: 'domain-1',
			AMARANTHSAIL_ENTRY_ADDRESSES: address,
			AMARANTHSAIL_WORKER_ADDRESS: address,
			AMARANTHSAIL_OBJECT_STORE_ADDRESS: address,
			AMARANTHSAIL_LISTEN_ADDRESS: `127.0.0.1:${httpPort}`,
			AMARANTHSAIL_DATAGRAM_ADDRESS: '127.0.0.1:0',
			AMARANTHSAIL_SHARED_SECRET: SHARED_SECRET,
			AMARANTHSAIL_LOG_LEVEL: 'warn',
		},
		stdio: ['ignore', 'ignore', 'inherit'],
	});
	const announcements = setInterval(() => {
		void announce(httpPort);
	}, ANNOUNCEMENT_INTERVAL_MS);
	try {
		const {pid} = agent;
		if (pid === undefined) {
			throw new Error('the agent process could not be started');
		}

		await peers.nextHeartbeat(AbortSignal.timeout(START_TIMEOUT_MS));
		await sleep(2 * ANNOUNCEMENT_INTERVAL_MS);
		process.stdout.write('tasks residentMb privateMb privateDirtyMb privateAloneMb processorPercent datagramBytesPerSecond loopbackBytesPerSecond\n');
		for (const count of taskCounts) {
			await startTasks(peers, count);
			await sleep(settleSeconds * 1000);
			const before = {...peers.bytes(), ...readProcessUse(pid, process.execPath)};
			await sleep(seconds * 1000);
			const after = {...peers.bytes(), ...readProcessUse(pid, process.execPath)};
			process.stdout.write([
				count,
				...[after.residentMb, after.privateMb, after.privateDirtyMb, after.privateAloneMb].map(value => value.toFixed(1)),
				((after.processorMs - before.processorMs) / seconds / 10).toFixed(2),
				((after.datagramBytes - before.datagramBytes) / seconds).toFixed(0),
				((after.loopbackBytes - before.loopbackBytes) / seconds).toFixed(0),
			].join(' ') + '\n');
		}
	} finally {
		clearInterval(announcements);
		agent.kill('SIGKILL');
		await once(agent, 'exit');
		peers.close();
	}
}

const outcome = readSettings(PROGRAM, SETTINGS, process.argv.slice(2), process.env);
if (!outcome.ok) {
	process.stderr.write(`${outcome.error.problems.map(({setting, message}) => `${setting}: ${message}`).join('\n')}\n`);
	process.exitCode = 2;
} else if (outcome.value.kind === 'help') {
	process.stdout.write(outcome.value.text);
} else if (outcome.value.kind === 'run') {
	await measure(outcome.value.settings);
}
