/* eslint-disable no-await-in-loop */
import process from 'node:process';
import {sleep} from '../lib-3/http.mjs';
import {runCase, System} from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const JOB = '00000000000000d1';
const TASK = `${JOB}.0.0.0`;
const WORK_MS = 20_000;
const CUT_MS = 5500;

const system = new System({
	folder: import.meta.dirname,
	workers: 8,
	// The spec is the time that the task works.
	workOf: spec => ({workMs: Number(spec), how: 'done'}),
});

/** Lists the times for which two runs of the task were at work at the same time. */
function findOverlaps() {
	const open = new Map();
	const overlaps = [];
	for (const event of system.runs) {
		if (event.event === 'start' && event.task === TASK) {
			for (const [worker, {run}] of open) {
				overlaps.push(`run ${event.run} starts at ${event.worker} at ${(event.atMs / 1000).toFixed(3)} s while run ${run} is at work at ${worker}`);
			}

			open.set(event.worker, {run: event.run});
		} else if ((event.event === 'end' && event.task === TASK) || event.event === 'leaves') {
			open.delete(event.worker);
		}
	}

	return overlaps;
}

/** Cuts the way from the agent to its worker; what the worker sends still arrives. */
async function cutOneWay(machine) {
	const [app, control] = ['app', 'control'].map(kind => system.links.get(`${machine} ${kind}`));
	system.record(`${machine}: cut from the agent to its worker; connections are refused`);
	app.refuse();
	app.passesRequests = false;
	control.passesAnswers = false;
	await sleep(CUT_MS);
	app.passesRequests = true;
	control.passesAnswers = true;
	app.reset();
	control.reset();
	await app.listen();
	system.record(`${machine}: the cut has ended`);
}

await runCase(system, async () => {
	await system.submit(JOB, {
		spec: String(WORK_MS), steps: [{
			count: 1, cpu: 8000, memoryRequestMb: 1024, gpu: 1, estimatedMs: WORK_MS, checkpointing: true,
		}],
	});
	await sleep(3000);
	const worker = system.workers.find(({tasks}) => tasks.includes(TASK));
	const left = worker.leave({remainingMs: 4000, endsUnacknowledgedAfterMs: 3000});
	await sleep(2000);
	if (HAS_TROUBLE) {
		await cutOneWay(worker.machine);
	}

	await left;
	for (let waitedMs = 0; waitedMs < 40_000; waitedMs += 1000) {
		if (await system.stateOf(JOB) === 'completed') {
			break;
		}

		await sleep(1000);
	}

	return findOverlaps().map(overlap => `TWICE: ${overlap}`);
});
