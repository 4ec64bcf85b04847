import {checkStarts} from './check-executions.js';
import {Figures, type Figure} from './timings.js';
import {ProofSystem} from './test-system.js';
import type {Scenario} from './scenario.js';

/** How a scenario ended. */
export type ScenarioResult = {
	readonly name: string;
	readonly properties: readonly string[];
	readonly durationMs: number;
	/** What was violated; absent when everything held. */
	readonly violation?: string;
};

/** What a run of scenarios gives. */
export type RunReport = {readonly scenarios: readonly ScenarioResult[]; readonly figures: readonly Figure[]};

/**
 * Runs scenarios one after the other on one system. A system in which a scenario failed is replaced by a new one.
 *
 * @param scenarios - The scenarios.
 * @param repeats - Repetitions of measured steps.
 * @param print - Takes one line for each scenario, and the last log lines of all processes after a failure.
 * @returns Results and measured times; a time above its stated target is a violation.
 */
export async function runScenarios(scenarios: readonly Scenario[], repeats: number, print: (line: string) => void): Promise<RunReport> {
	const figures = new Figures();
	const results: ScenarioResult[] = [];
	let system: ProofSystem | undefined;
	try {
		for (const scenario of scenarios) {
			system ??= await startSystem();
			const result = await runScenario(scenario, system, repeats, figures);
			results.push(result);
			print(`${result.violation === undefined ? 'ok  ' : 'FAIL'} ${scenario.name} (${scenario.properties.join(', ')}) in ${Math.round(result.durationMs)} ms`);
			if (result.violation === undefined) {
				continue;
			}

			print(result.violation);
			for (const process of [...system.local.entries, ...system.local.workers.map(({agent}) => agent)]) {
				print(`last log lines of ${process.spec.name}, ${process.isRunning ? 'running' : 'ended'}:\n${process.lastLines(15)}`);
			}

			await system.stop();
			system = undefined;
		}
	} finally {
		await system?.stop();
	}

	return {scenarios: results, figures: figures.summarize()};
}

async function startSystem(): Promise<ProofSystem> {
	const system = new ProofSystem();
	try {
		await system.start();
		return system;
	} catch (error) {
		await system.stop();
		throw error;
	}
}

async function runScenario(scenario: Scenario, system: ProofSystem, repeats: number, figures: Figures): Promise<ScenarioResult> {
	const startedMs = performance.now();
	const {name, properties} = scenario;
	try {
		await scenario.run({
			system,
			repeats,
			record(figure, valueMs) {
				figures.record(figure, valueMs);
			},
		});
		checkStarts(await system.executions());
		return {name, properties, durationMs: performance.now() - startedMs};
	} catch (error) {
		const violation = error instanceof Error ? error.stack ?? error.message : String(error);
		return {name, properties, durationMs: performance.now() - startedMs, violation};
	}
}
