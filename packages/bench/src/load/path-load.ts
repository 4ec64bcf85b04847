import {spawn} from 'node:child_process';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {readProcessUse, type ProcessUse} from '@amaranthsail/agent/process-use.js';
import {Latency, type LatencySummary} from './latency.js';
import {
	LOAD_CAPACITY, LOAD_DOMAIN, LoadSystem, rackOf, storeUseOf, waitUntil, type StoreUse,
} from './load-system.js';
import {ProcessMeter, type IntervalUse} from './process-meter.js';

const CONCURRENCIES = [1, 8, 32] as const;
const WORKERS = 3;
const WAIT_MS = 25_000;
const SAMPLE_INTERVAL_MS = 5;
const CLI_TIMEOUT_MS = 20_000;

/** Figures at one level of concurrency. */
export type PathFigures = {
	readonly concurrency: number;
	readonly jobsPerSecond: number;
	readonly latency: LatencySummary;
	/** Operations of the store for one job, without those of an idle system. */
	readonly storePerJob: StoreUse;
	readonly processes: Readonly<Record<string, IntervalUse>>;
};

/** Figures of the whole path. */
export type PathResult = {
	readonly idleStorePerSecond: StoreUse;
	readonly idleProcesses: Readonly<Record<string, IntervalUse>>;
	readonly levels: readonly PathFigures[];
	/** The command `status`: its last sample before it ended, with the largest resident and private memory. */
	readonly cli: Pick<ProcessUse, 'residentMb' | 'privateMb' | 'processorMs'>;
};

async function measureCli(system: LoadSystem): Promise<PathResult['cli']> {
	const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve('@amaranthsail/cli/bin.js')), 'status'], {
		env: system.cliEnvironment, stdio: ['ignore', 'ignore', 'inherit'], timeout: CLI_TIMEOUT_MS,
	});
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			resolve(code ?? undefined);
		});
	});
	const largest = {residentMb: 0, privateMb: 0, processorMs: 0};
	while (child.exitCode === null && child.signalCode === null) {
		try {
			const use = readProcessUse(child.pid!, process.execPath);
			largest.residentMb = Math.max(largest.residentMb, use.residentMb);
			largest.privateMb = Math.max(largest.privateMb, use.privateMb);
			largest.processorMs = Math.max(largest.processorMs, use.processorMs);
		} catch {
			// The process ended between two samples.
		}

		await sleep(SAMPLE_INTERVAL_MS);
	}

	const code = await exited;
	if (code !== 0) {
		throw new Error(`the command line ended with ${String(code)}`);
	}

	return largest;
}

async function runJobs(system: LoadSystem, keyPrefix: string, {jobs, concurrency}: {jobs: number; concurrency: number}): Promise<Latency> {
	const latency = new Latency();
	let next = 0;
	const submitInTurn = async (): Promise<void> => {
		while (next < jobs) {
			const index = next++;
			const startMs = performance.now();
			const state = await system.submit('empty', `${keyPrefix}-${concurrency}-${index}`, WAIT_MS);
			latency.record(performance.now() - startMs);
			if (state !== 'completed') {
				throw new Error(`an empty job is ${state}`);
			}
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => submitInTurn()));
	return latency;
}

/**
 * Measures empty jobs from submit to answer on three workers with real agents.
 *
 * @param settings - Seed, jobs of each level, and lengths in seconds.
 * @returns The figures.
 * @throws Error when a process does not start or a job does not complete.
 */
export async function measurePath(settings: {readonly seed: number; readonly jobs: number; readonly seconds: number; readonly settleSeconds: number}): Promise<PathResult> {
	const system = new LoadSystem(WORKERS, Array.from({length: WORKERS}, (_unused, index) => ({
		workerId: `worker-${index}`, failureDomain: LOAD_DOMAIN, rack: rackOf(index), capacity: LOAD_CAPACITY, services: ['load'],
	})));
	try {
		await system.start();
		const ownerPid = await system.ownerPid();
		await waitUntil('the workers', async () => {
			const {body} = await system.operator.call('GET', '/v1/status');
			return (body.entries as ReadonlyArray<{readonly workers: readonly unknown[]}>).flatMap(({workers}) => workers).length === WORKERS;
		});
		const {entries, workers, platform} = system.local;
		const pids = new Map([
			['entryOwner', ownerPid],
			['entryOther', entries.find(({pid}) => pid !== ownerPid)!.pid],
			...workers.map(({agent}, index): [string, number] => [`agent${index + 1}`, agent.pid]),
			['worker1', workers[0]!.worker.pid],
			['platform', platform.pid],
		]);
		await runJobs(system, `warm-${settings.seed}`, {jobs: 20, concurrency: 1});
		await sleep(settings.settleSeconds * 1000);
		const idleBefore = await system.counters();
		const idleMeter = new ProcessMeter(pids);
		await sleep(settings.seconds * 1000);
		const idle = storeUseOf(idleBefore, await system.counters(), {divisor: settings.seconds});
		const idleProcesses = idleMeter.end();
		const levels: PathFigures[] = [];
		for (const concurrency of CONCURRENCIES) {
			const before = await system.counters();
			const meter = new ProcessMeter(pids);
			const startMs = performance.now();
			const latency = await runJobs(system, `load-${settings.seed}`, {jobs: settings.jobs, concurrency});
			const seconds = (performance.now() - startMs) / 1000;
			levels.push({
				concurrency,
				jobsPerSecond: settings.jobs / seconds,
				latency: latency.summary(),
				storePerJob: storeUseOf(before, await system.counters(), {divisor: settings.jobs, idle, seconds}),
				processes: meter.end(),
			});
		}

		return {
			idleStorePerSecond: idle, idleProcesses, levels, cli: await measureCli(system),
		};
	} finally {
		await system.local.stop();
	}
}
