import {spawn} from 'node:child_process';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {readProcessUse, type ProcessUse} from '@amaranthsail/agent/process-use.js';
import {LatencyHistogram, type LatencySummary} from './latency.js';
import {
	LOAD_CAPACITY, LOAD_FAILURE_DOMAIN, LoadSystem, rackNameOf, computeStoreUse, waitUntil, type StoreUse,
} from './load-system.js';
import {ProcessMeter, type IntervalUse} from './process-meter.js';

const CONCURRENCY_LEVELS = [1, 8, 32] as const;
const WORKER_COUNT = 3;
const JOB_WAIT_MS = 25_000;
const SAMPLE_INTERVAL_MS = 5;
const CLI_TIMEOUT_MS = 20_000;

/** Figures at one level of concurrency. */
export type PathFigures = {
	readonly concurrency: number;
	readonly jobsPerSecond: number;
	readonly latency: LatencySummary;
	/** Store operations per job, without those of an idle system. */
	readonly storePerJob: StoreUse;
	readonly processes: Readonly<Record<string, IntervalUse>>;
};

/** Figures of the whole path of a job, from submission to answer. */
export type PathResult = {
	readonly idleStorePerSecond: StoreUse;
	readonly idleProcesses: Readonly<Record<string, IntervalUse>>;
	readonly levels: readonly PathFigures[];
	/** The command `status`: processor time at the last sample before its end, and the largest sampled memory. */
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
	const maxUse = {residentMb: 0, privateMb: 0, processorMs: 0};
	while (child.exitCode === null && child.signalCode === null) {
		try {
			const use = readProcessUse(child.pid!, process.execPath);
			maxUse.residentMb = Math.max(maxUse.residentMb, use.residentMb);
			maxUse.privateMb = Math.max(maxUse.privateMb, use.privateMb);
			maxUse.processorMs = Math.max(maxUse.processorMs, use.processorMs);
		} catch {
			// The process ended before this sample.
		}

		await sleep(SAMPLE_INTERVAL_MS);
	}

	const code = await exited;
	if (code !== 0) {
		throw new Error(`the command status exited with ${String(code)}`);
	}

	return maxUse;
}

async function runJobs(system: LoadSystem, keyPrefix: string, {jobs, concurrency}: {jobs: number; concurrency: number}): Promise<LatencyHistogram> {
	const histogram = new LatencyHistogram();
	let nextIndex = 0;
	const submitRemaining = async (): Promise<void> => {
		while (nextIndex < jobs) {
			const index = nextIndex++;
			const startMs = performance.now();
			const state = await system.submit('empty', `${keyPrefix}-${concurrency}-${index}`, JOB_WAIT_MS);
			histogram.record(performance.now() - startMs);
			if (state !== 'completed') {
				throw new Error(`empty job not completed: state ${state}`);
			}
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => submitRemaining()));
	return histogram;
}

/**
 * Measures empty jobs from submission to answer on three workers with real agents.
 *
 * @param settings - Seed, jobs at each level of concurrency, and durations in seconds.
 * @returns The figures.
 * @throws Error when a process does not start or a job does not complete.
 */
export async function measurePath(settings: {readonly seed: number; readonly jobs: number; readonly seconds: number; readonly settleSeconds: number}): Promise<PathResult> {
	const system = new LoadSystem(WORKER_COUNT, Array.from({length: WORKER_COUNT}, (_unused, index) => ({
		workerId: `worker-${index}`, failureDomain: LOAD_FAILURE_DOMAIN, rack: rackNameOf(index), capacity: LOAD_CAPACITY, services: ['load'],
	})));
	try {
		await system.start();
		const ownerPid = await system.findOwnerPid();
		await waitUntil('all workers in the status', async () => {
			const {body} = await system.operator.call('GET', '/v1/status');
			return (body.entries as ReadonlyArray<{readonly workers: readonly unknown[]}>).flatMap(({workers}) => workers).length === WORKER_COUNT;
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
		const idleBefore = await system.readCounters();
		const idleMeter = new ProcessMeter(pids);
		await sleep(settings.seconds * 1000);
		const idleStorePerSecond = computeStoreUse(idleBefore, await system.readCounters(), {divisor: settings.seconds});
		const idleProcesses = idleMeter.end();
		const levels: PathFigures[] = [];
		for (const concurrency of CONCURRENCY_LEVELS) {
			const before = await system.readCounters();
			const meter = new ProcessMeter(pids);
			const startMs = performance.now();
			const histogram = await runJobs(system, `load-${settings.seed}`, {jobs: settings.jobs, concurrency});
			const seconds = (performance.now() - startMs) / 1000;
			levels.push({
				concurrency,
				jobsPerSecond: settings.jobs / seconds,
				latency: histogram.summary(),
				storePerJob: computeStoreUse(before, await system.readCounters(), {divisor: settings.jobs, idlePerSecond: idleStorePerSecond, seconds}),
				processes: meter.end(),
			});
		}

		return {
			idleStorePerSecond, idleProcesses, levels, cli: await measureCli(system),
		};
	} finally {
		await system.local.stop();
	}
}
