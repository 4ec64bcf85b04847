import {MAX_QUARANTINE_PROBE_DELAY_MS, QUARANTINE_PROBE_DELAY_MS, type JobSpec} from '@amaranthsail/core';
import {expect} from 'chai';
import {cluster, job} from './support.js';
import type {Scheduler} from '@amaranthsail/scheduler';

/** Quarantines the only worker by the failures of three distinct jobs. */
function quarantine(scheduler: Scheduler): void {
	for (const jobId of ['bad-1', 'bad-2', 'bad-3']) {
		scheduler.submit({...job(jobId), isAccepted: true}, 0);
		scheduler.decide(0);
		scheduler.ended(jobId, 'failed', ['w0'], 0);
		scheduler.withdraw(jobId);
	}
}

function isNextPlaced(scheduler: Scheduler, nowMs: number): boolean {
	return scheduler.decide(nowMs).some(decision => decision.kind === 'place' && decision.jobId === 'next');
}

describe('quarantine', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly change: Partial<JobSpec>; readonly placedAfterMs: number}> = [
		{name: 'a repeatable job as the probe', change: {}, placedAfterMs: QUARANTINE_PROBE_DELAY_MS},
		{name: 'a repeatable gang as the probe', change: {taskCount: 2}, placedAfterMs: QUARANTINE_PROBE_DELAY_MS},
		{name: 'a non-repeatable job only after the longest probe delay without a failure', change: {repeatable: false}, placedAfterMs: MAX_QUARANTINE_PROBE_DELAY_MS},
	];
	for (const {name, change, placedAfterMs} of cases) {
		// Guards against jobs that wait forever because no job may probe the workers that they need.
		it(`places ${name}`, () => {
			const scheduler = cluster([1]);
			quarantine(scheduler);
			scheduler.submit({...job('next', change), isAccepted: true}, 0);
			expect(isNextPlaced(scheduler, placedAfterMs - 1)).to.equal(false);
			expect(isNextPlaced(scheduler, placedAfterMs + 1000)).to.equal(true);
		});
	}
});
