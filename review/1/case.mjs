/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {
	check, hasTrouble, runCase,
} from '../lib/case.mjs';
import {sleep, until} from '../lib/http.mjs';
import {FATES} from '../lib/store.mjs';

/** Longest outage of the store in the site file. */
const OUTAGE_MS = 4500;

const JOB = '00000000000000a1';

const JOB_BODY = {
	spec: 'work', steps: [{
		count: 1, cpu: 1000, memoryRequestMb: 512, gpu: 1, estimatedMs: 1000,
	}],
};

/** Answers that say that a job was not accepted. */
const REJECTIONS = new Set([401, 404, 429, 503]);

/** Pause of the client before it asks the next entry. */
const RETRY_DELAY_MS = 300;

const CLIENT_DEADLINE_MS = 3000;

await runCase(import.meta.url, 'cespiti-sail', async deployment => {
	const {record, store, system} = deployment;
	await deployment.start({entries: 3, workers: 2, taskOf: () => ({durationMs: 1000})});
	check(await until(() => deployment.leader, 10_000), 'an entry leads');
	await sleep(3000);
	const warmUp = await deployment.call('front-1', {method: 'POST', id: '00000000000000a0', body: JOB_BODY});
	check(warmUp.status === 200 && await until(() => record.ends.length > 0, 5000), 'a job runs before the disruption');

	const [first, second] = [...system.machines.values()].filter(({role, name}) => role === 'pool-entry' && name !== deployment.leader).map(({name}) => name);
	const entries = [first, deployment.leader, second];
	let outageEndsAt = Number.POSITIVE_INFINITY;
	let isDown = false;
	if (hasTrouble) {
		store.chooseFate = ({path, body}) => {
			if (isDown) {
				return performance.now() < outageEndsAt ? FATES.busy : FATES.served;
			}

			if (path === '/rows-tx' && body.puts.some(({table, key}) => table === 'jobs' && key === JOB)) {
				isDown = true;
				outageEndsAt = performance.now() + OUTAGE_MS;
				record.note('store carries out a write without an answer, and is down from now on', {forMs: OUTAGE_MS});
				system.signal(second, 'SIGKILL');
				return FATES.answerLost;
			}

			return FATES.served;
		};
	}

	const answers = [];
	const endsAt = performance.now() + CLIENT_DEADLINE_MS;
	for (let attempt = 0; performance.now() < endsAt - RETRY_DELAY_MS && answers.at(-1)?.status !== 200; attempt++) {
		answers.push(await deployment.call(entries[attempt % entries.length], {
			method: 'POST', id: JOB, body: JOB_BODY, deadlineMs: Math.round(endsAt - performance.now()),
		}));
		await sleep(RETRY_DELAY_MS);
	}

	record.note('the client has its answers', {answers: answers.map(({status, error}) => status ?? error)});
	await sleep(15_000);
	const starts = record.starts.filter(({task}) => task.startsWith(`${JOB}.`));
	const isRejected = answers.every(({status}) => REJECTIONS.has(status));
	return isRejected && starts.length > 0
		? [`REFUSED: ${starts[0].task} started at ${starts[0].atMs} ms, and all ${answers.length} attempts to hand its job in were rejected`]
		: [];
});
