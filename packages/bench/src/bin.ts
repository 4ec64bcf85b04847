#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {readProgramSettings} from '@amaranthsail/core';
import {CAPACITY_WORKER_COUNTS, measureCapacity} from './capacity.js';
import {BENCH_SETTINGS, FIRST_SEED} from './bench-settings.js';
import {DIVISIONS} from './division.js';
import {comparePolicies, formatFigures, FIGURES_HEADER, type PolicyFigures} from './policy-report.js';
import {measureRounds, ROUND_WORKER_COUNTS} from './pool-rounds.js';
import {SCENARIOS} from './scenario.js';

const RESULTS_DIRECTORY = 'bench-results';

function writeResults(name: string, content: unknown): void {
	mkdirSync(RESULTS_DIRECTORY, {recursive: true});
	writeFileSync(`${RESULTS_DIRECTORY}/${name}.json`, `${JSON.stringify(content, undefined, '\t')}\n`);
}

const settings = readProgramSettings('amaranthsail-bench', BENCH_SETTINGS, import.meta.url);
if (settings?.mode === 'capacity') {
	const results = CAPACITY_WORKER_COUNTS.map(workers => {
		const figures = measureCapacity(workers);
		console.log(`${workers} workers, ${figures.runningTasks} running tasks, ${figures.waitingJobs} waiting jobs: `
			+ `decide mean ${figures.decideMeanMs.toFixed(2)} ms, p99 ${figures.decideP99Ms.toFixed(2)} ms, max ${figures.decideMaxMs.toFixed(2)} ms; heap ${figures.heapMb.toFixed(1)} MB`);
		return figures;
	});
	writeResults('capacity', results);
} else if (settings?.mode === 'rounds') {
	const results = ROUND_WORKER_COUNTS.map(workers => {
		const figures = measureRounds(workers);
		console.log(`${workers} workers, ${figures.runningTasks} running tasks, ${figures.waitingGangs} waiting gangs: median scheduling round of the pool leader ${figures.medianMs.toFixed(2)} ms`);
		return figures;
	});
	writeResults('rounds', results);
} else if (settings) {
	const seeds = Array.from({length: settings.seedCount}, (_, index) => FIRST_SEED[settings.seeds] + index);
	const results: PolicyFigures[] = [];
	console.log(FIGURES_HEADER);
	for (const division of DIVISIONS.filter(({name}) => settings.division === 'all' || name === settings.division)) {
		for (const scenario of SCENARIOS.filter(({name}) => settings.scenario === 'all' || name === settings.scenario)) {
			for (const figures of comparePolicies(division, scenario, seeds)) {
				console.log(formatFigures(figures));
				results.push(figures);
			}
		}
	}

	writeResults(`policies-${settings.seeds}`, {seeds, figures: results});
}
