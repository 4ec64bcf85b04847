#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {readProgramSettings} from '@amaranthsail/core';
import {CAPACITY_SIZES, measureCapacity} from './capacity.js';
import {BENCH_SETTINGS, FIRST_SEED} from './bench-settings.js';
import {DIVISIONS} from './division.js';
import {comparePolicies, formatFigures, HEADS, type PolicyFigures} from './policy-report.js';
import {measureRounds, ROUND_SIZES} from './pool-rounds.js';
import {SCENARIOS} from './scenario.js';

const RESULTS_DIRECTORY = 'bench-results';

function writeResults(name: string, content: unknown): void {
	mkdirSync(RESULTS_DIRECTORY, {recursive: true});
	writeFileSync(`${RESULTS_DIRECTORY}/${name}.json`, `${JSON.stringify(content, undefined, '\t')}\n`);
}

const settings = readProgramSettings('amaranthsail-bench', BENCH_SETTINGS, import.meta.url);
if (settings?.mode === 'capacity') {
	const all = CAPACITY_SIZES.map(workers => {
		const figures = measureCapacity(workers);
		console.log(`${workers} workers, ${figures.runningTasks} running tasks, ${figures.waitingJobs} waiting jobs: `
			+ `decide mean ${figures.decideMeanMs.toFixed(2)} ms, p99 ${figures.decideP99Ms.toFixed(2)} ms, max ${figures.decideMaxMs.toFixed(2)} ms; heap ${figures.heapMb.toFixed(1)} MB`);
		return figures;
	});
	writeResults('capacity', all);
} else if (settings?.mode === 'rounds') {
	const all = ROUND_SIZES.map(workers => {
		const figures = measureRounds(workers);
		console.log(`${workers} workers, ${figures.runningTasks} running tasks, ${figures.waitingGangs} waiting gangs: a round of the pool's leader takes ${figures.medianMs.toFixed(2)} ms`);
		return figures;
	});
	writeResults('rounds', all);
} else if (settings) {
	const seeds = Array.from({length: settings.seedCount}, (_, index) => FIRST_SEED[settings.seeds] + index);
	const all: PolicyFigures[] = [];
	console.log(HEADS);
	for (const division of DIVISIONS.filter(({name}) => settings.division === 'all' || name === settings.division)) {
		for (const scenario of SCENARIOS.filter(({name}) => settings.scenario === 'all' || name === settings.scenario)) {
			for (const figures of comparePolicies(division, scenario, seeds)) {
				console.log(formatFigures(figures));
				all.push(figures);
			}
		}
	}

	writeResults(`policies-${settings.seeds}`, {seeds, figures: all});
}
