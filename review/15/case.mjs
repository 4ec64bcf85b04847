/* eslint-disable no-await-in-loop */
import process from 'node:process';
import {sleep} from '../lib-3/http.mjs';
import {runCase, System} from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const WORKERS = 11;
const JOBS = 6;
const HANG_MS = 5500;
/** `visible_ms` + 2 s: jobs accepted longer ago than this have to be in the count. */
const COUNTED_AFTER_MS = 5000;

const system = new System({
	folder: import.meta.dirname,
	workers: WORKERS,
	// The spec is the time that the task works.
	workOf: spec => ({workMs: Number(spec), how: 'done'}),
});

const idOf = number => number.toString(16).padStart(16, '0');

function stepOf(accelerators) {
	return {
		count: 1, cpu: 1000, memoryRequestMb: 1024, gpu: accelerators, estimatedMs: 5000,
	};
}

/** Fills all workers but one, and returns that one. */
async function fillOthers() {
	for (let number = 1; number < WORKERS; number++) {
		await system.submit(idOf(number), {spec: '100000', steps: [stepOf(8)]});
	}

	await sleep(2000);
	return system.workers.find(({tasks}) => tasks.length === 0);
}

await runCase(system, async () => {
	const worker = await fillOthers();
	const leader = system.leaderName;
	const entries = system.entries.filter(({name}) => name !== leader);
	const acceptedAtMs = new Map();
	const startedAtMs = system.nowMs;
	if (HAS_TROUBLE) {
		system.record(`${worker.machine}: its worker leaves starts unanswered from now on`);
		worker.isHanging = true;
	}

	for (let number = 100; number < 100 + JOBS; number++) {
		const {status} = await system.send(entries[0], 'POST', `/q/${idOf(number)}`, {spec: '3000', steps: [stepOf(1)]});
		if (status === 200) {
			acceptedAtMs.set(idOf(number), system.nowMs);
		}
	}

	const wrongAnswers = new Map(entries.map(({name}) => [name, []]));
	let hasKilled = false;
	while (system.nowMs < startedAtMs + HANG_MS + 2000) {
		const passedMs = system.nowMs - startedAtMs;
		if (HAS_TROUBLE && !hasKilled && passedMs > 1000) {
			hasKilled = true;
			system.record(`${leader} is killed`);
			system.entries.find(({name}) => name === leader).signal('SIGKILL');
		}

		if (worker.isHanging && passedMs > HANG_MS) {
			system.record(`${worker.machine}: its worker answers starts again`);
			worker.isHanging = false;
		}

		if (passedMs > COUNTED_AFTER_MS) {
			for (const entry of entries) {
				const askedAtMs = system.nowMs;
				const {status, body} = await system.send(entry, 'GET', '/q/');
				const begun = new Set(system.runs.filter(({event}) => event === 'start').map(({task}) => task.split('.')[0]));
				const waiting = [...acceptedAtMs].filter(([jobId, atMs]) => askedAtMs - atMs > COUNTED_AFTER_MS && !begun.has(jobId)).length;
				if (status === 200 && body.pending < waiting / 2) {
					wrongAnswers.get(entry.name).push(`${body.pending} pending jobs while ${waiting} that were accepted over ${COUNTED_AFTER_MS} ms before haven't begun`);
				}
			}
		}

		await sleep(50);
	}

	return [...wrongAnswers].filter(([, answers]) => answers.length > 0).map(([name, answers]) => `MIXED: ${name} gives ${answers[0]}; ${answers.length} such answers`);
});
