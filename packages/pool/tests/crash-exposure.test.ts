import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep} from './support/pool-harness.js';
import {CrashExposure} from '@amaranthsail/pool/crash-exposure.js';
import {createRun, RUN_PHASES, type Run, type Task} from '@amaranthsail/pool/job-model.js';
import {createTrackedWorker, type TrackedWorker} from '@amaranthsail/pool/tracked-worker.js';

const NOW_MS = 100_000;

const UNTRIED: ReadonlySet<string> = new Set();

/** Counts how often its runs are listed. */
class CountingRuns extends Map<string, Run> {
	listings = 0;

	override values(): MapIterator<Run> {
		this.listings++;
		return super.values();
	}
}

function createWorker(): {worker: TrackedWorker; runs: CountingRuns} {
	const runs = new CountingRuns();
	return {worker: {...createTrackedWorker(new FakeWorker('w1').facts, 'w1', NOW_MS), runs}, runs};
}

function addSuspect(runs: CountingRuns, name: string): void {
	const task = {name, step: {spec: makeStep()}, checkpoint: '', crashes: [{life: 'w9@1000', evidence: 'atStart', isConfirmed: true}]} as unknown as Task;
	runs.set(name, createRun(task, {number: 1, incarnation: 'w1@1000', phase: RUN_PHASES.recording, nowMs: NOW_MS}));
}

describe('CrashExposure', () => {
	it('counts the runs of a worker once for all units of a round, and again once it has got a run', () => {
		const {worker, runs} = createWorker();
		const exposure = new CrashExposure();
		for (let unit = 0; unit < 100; unit++) {
			expect(exposure.of(worker, UNTRIED, NOW_MS)).to.equal(0);
		}

		expect(runs.listings).to.equal(1);
		addSuspect(runs, 'j1.0.0.0');
		exposure.forget([worker.incarnation]);
		expect(exposure.of(worker, UNTRIED, NOW_MS)).to.equal(2);
	});

	const cases: ReadonlyArray<{readonly title: string; readonly suspects: number; readonly crashedWorkerIds: readonly string[]; readonly expected: number}> = [
		{title: 'an empty worker and a suspected unit', suspects: 0, crashedWorkerIds: ['w9'], expected: 0},
		{title: 'an empty worker that has crashed under the unit', suspects: 0, crashedWorkerIds: ['w1'], expected: 1},
		{title: 'a suspected run and any other unit', suspects: 3, crashedWorkerIds: [], expected: 2},
		{title: 'a suspected run and a suspected unit', suspects: 1, crashedWorkerIds: ['w9'], expected: 4},
		{title: 'many suspected runs and a suspected unit', suspects: 8, crashedWorkerIds: ['w1'], expected: 9},
	];
	for (const {title, suspects, crashedWorkerIds, expected} of cases) {
		it(`is ${expected} for ${title}`, () => {
			const {worker, runs} = createWorker();
			for (let number = 0; number < suspects; number++) {
				addSuspect(runs, `j1.0.0.${number}`);
			}

			expect(new CrashExposure().of(worker, new Set(crashedWorkerIds), NOW_MS)).to.equal(expected);
		});
	}
});
