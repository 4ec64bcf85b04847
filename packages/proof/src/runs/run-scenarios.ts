import {checkStarts} from './check-executions.js';
import {TimingRecorder, type TimingSummary} from './timings.js';
import {TestSystem} from './test-system.js';
import type {Scenario} from './scenario.js';

/** How a scenario ended. */
export type ScenarioResult = {
	readonly name: string;
	readonly properties: readonly string[];
	readonly durationMs: number;
	/** The violation or error; absent when the scenario passed. */
	readonly violation?: string;
};

/** Report of a run of scenarios; written to a file with these field names. */
export type RunReport = {readonly scenarios: readonly ScenarioResult[]; readonly figures: readonly TimingSummary[]};

/**
 * Runs scenarios one after the other on one system. After a failed scenario a new system is started.
 *
 * @param scenarios - The scenarios.
 * @param repeats - Repetitions of measured steps.
 * @param print - Prints one line for each scenario, and after a failure the last log lines of all entries and agents.
 * @returns Results and measured durations; the caller treats a duration above its target as a violation.
 */
export async function runScenarios(scenarios: readonly Scenario[], repeats: number, print: (line: string) => void): Promise<RunReport> {
	const timings = new TimingRecorder();
	const results: ScenarioResult[] = [];
	let system: TestSystem | undefined;
	try {
		for (const scenario of scenarios) {
			system ??= await startSystem();
			const result = await runScenario(scenario, system, repeats, timings);
			results.push(result);
			print(`${result.violation === undefined ? 'ok  ' : 'FAIL'} ${scenario.name} (${scenario.properties.join(', ')}) in ${Math.round(result.durationMs)} ms`);
			if (result.violation === undefined) {
				continue;
			}

			print(result.violation);
			for (const process of [...system.localSystem.entries, ...system.localSystem.workers.map(({agent}) => agent)]) {
				print(`last log lines of ${process.spec.name}, ${process.isRunning ? 'running' : 'ended'}:\n${process.formatLastLogLines(15)}`);
			}

			await system.stop();
			system = undefined;
		}
	} finally {
		await system?.stop();
	}

	return {scenarios: results, figures: timings.summarize()};
}

async function startSystem(): Promise<TestSystem> {
	const system = new TestSystem();
	try {
		await system.start();
		return system;
	} catch (error) {
		await system.stop();
		throw error;
	}
}

async function runScenario(scenario: Scenario, system: TestSystem, repeats: number, timings: TimingRecorder): Promise<ScenarioResult> {
	const startedAtMs = performance.now();
	const {name, properties} = scenario;
	try {
		await scenario.run({
			system,
			repeats,
			recordTime(timingName, durationMs) {
				timings.record(timingName, durationMs);
			},
		});
		checkStarts(await system.listExecutions());
		return {name, properties, durationMs: performance.now() - startedAtMs};
	} catch (error) {
		const violation = error instanceof Error ? error.stack ?? error.message : String(error);
		return {name, properties, durationMs: performance.now() - startedAtMs, violation};
	}
}
