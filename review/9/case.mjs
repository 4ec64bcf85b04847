
import {CAPACITY, CONFIG, KEY} from '../lib-2/config.mjs';
import {sleep} from '../lib-2/http.mjs';
import {cannotRun, runCase} from '../lib-2/system.mjs';

const JOB_ID = '7c6b5a4938271605';

/** Bound of the site: `cancel_ms`. */
const CANCEL_MS = 3000;

/** `platform_lost` with `late`: for at most 4.5 s, at most 0.35 of the writes are done 1 to 6 s later and not answered. */
const LOSSY_MS = 2000;
const LATE_MS = 6000;
const MAX_LOST_SHARE = 0.35;

/** How long the caller waits; then it cancels the job. */
const DEADLINE_MS = 2000;

await runCase({
	entryCount: 3, workerCount: 4, capacity: CAPACITY, config: CONFIG,
}, async (system, hasTrouble) => {
	const {store, entries, events} = system;
	const headers = {host: 'deprec.example', key: KEY};
	const bodyOf = taskMs => ({
		spec: JSON.stringify({taskMs}),
		steps: [{
			count: 1, cpu: 500, memoryRequestMb: 500, estimatedMs: taskMs,
		}],
	});
	const writes = {all: 0, lost: 0};
	const lossyUntilMs = performance.now() + LOSSY_MS;
	store.lateMsOf = ({puts = []}) => {
		if (performance.now() >= lossyUntilMs) {
			return undefined;
		}

		writes.all++;
		const isLost = hasTrouble && puts.some(({table, key}) => table === 'jobs' && key === JOB_ID);
		writes.lost += isLost ? 1 : 0;
		return isLost ? LATE_MS : undefined;
	};

	// Jobs of other callers, whose writes are answered.
	const others = Array.from({length: 12}, async (_, number) => {
		await sleep(150 * number);
		await system.call(entries[2], 'POST', `/deprec/${String(number).padStart(16, '0')}`, {...headers, body: bodyOf(300)});
	});
	const submitted = await system.call(entries[0], 'POST', `/deprec/${JOB_ID}`, {...headers, body: bodyOf(1500), deadlineMs: DEADLINE_MS});
	const cancelled = await system.call(entries[1], 'DELETE', `/deprec/${JOB_ID}`, headers);
	const cancelledAtMs = system.record('cancelling answered', {status: cancelled.status}).atMs;
	await Promise.all(others);
	system.record('writes while answers were lost', writes);
	if (writes.lost > MAX_LOST_SHARE * writes.all) {
		throw cannotRun(`${writes.lost} of ${writes.all} writes were lost`);
	}

	await sleep(LATE_MS + 3000);
	await system.call(entries[1], 'GET', `/deprec/${JOB_ID}`, headers);
	const isAcknowledged = cancelled.status === 410 || (cancelled.status >= 200 && cancelled.status < 300);
	const starts = events.filter(({event, task, atMs}) => event === 'run started' && task.startsWith(JOB_ID) && atMs > cancelledAtMs + CANCEL_MS);
	return isAcknowledged
		? starts.map(({task, run, worker, atMs}) => `${task}: the POST got ${submitted.status}, the DELETE ${cancelled.status}; run ${run} started on ${worker} ${atMs - cancelledAtMs} ms after that`)
		: [];
});
