/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {check, hasTrouble, runCase} from '../lib/case.mjs';
import {sleep, until} from '../lib/http.mjs';
import {FATES} from '../lib/store.mjs';

/** Longest cut of one machine from the store in the site file. */
const CUT_MS = 5500;

/** Jobs count if they were accepted over `visible_ms` + 2 s before. */
const COUNTED_AFTER_MS = 5000;

const WAITING_JOBS = 6;

const TASK_MS = 60_000;

function bodyOf(tasks) {
	return {
		spec: 'work', steps: [{
			count: tasks, cpu: 1000, memoryRequestMb: 512, gpu: 8, estimatedMs: TASK_MS,
		}],
	};
}

await runCase(import.meta.url, 'cespiti-sail', async deployment => {
	const {record, store, system} = deployment;
	await deployment.start({entries: 3, workers: 2, taskOf: () => ({durationMs: TASK_MS})});
	check(await until(() => deployment.leader, 10_000), 'an entry leads');
	await sleep(3000);
	await deployment.call('front-1', {method: 'POST', id: '00000000000000d0', body: bodyOf(2)});
	check(await until(() => record.starts.length === 2, 5000), 'the workers are full');
	for (let number = 1; number <= WAITING_JOBS; number++) {
		const {status} = await deployment.call('front-1', {method: 'POST', id: `00000000000000d${number}`, body: bodyOf(1)});
		check(status === 200, 'the job is accepted');
	}

	await sleep(COUNTED_AFTER_MS + 500);
	const oldLeader = deployment.leader;
	let newLeader;
	let cutEndsAt;
	if (hasTrouble) {
		store.onTransaction = ({machine, transaction}) => {
			if (newLeader === undefined && machine !== oldLeader && transaction.puts.some(({table}) => table === 'leader')) {
				newLeader = machine;
				cutEndsAt = performance.now() + CUT_MS + 20;
				// The answer still arrives.
				setTimeout(() => {
					record.note('machine is cut from the store', {machine, forMs: CUT_MS});
					store.chooseFate = call => (call.machine === machine && performance.now() < cutEndsAt ? FATES.silent : FATES.served);
				}, 2);
			}
		};

		system.signal(oldLeader, 'SIGKILL');
		check(await until(() => newLeader, 10_000), 'another entry has taken over');
	}

	const asked = [...system.machines.values()].map(({name, role}) => (role === 'pool-entry' ? name : '')).find(name => name !== '' && name !== oldLeader && name !== newLeader);
	let firstBreak;
	for (let count = 0; count < 8; count++) {
		const {status, body} = await deployment.call(asked, {method: 'GET', id: ''});
		const begun = new Set(record.starts.map(({task}) => task.split('.')[0])).size;
		const waiting = WAITING_JOBS + 1 - begun;
		if (status === 200 && body.pending < waiting / 2) {
			firstBreak ??= `MIXED: ${asked} gives ${body.pending} as pending at ${record.nowMs()} ms, while ${waiting} jobs that were accepted over ${COUNTED_AFTER_MS} ms before haven't begun`;
		}

		await sleep(700);
	}

	return firstBreak ? [firstBreak] : [];
});
