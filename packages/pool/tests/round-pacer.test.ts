import {expect} from 'chai';
import {ManualClock} from '@amaranthsail/core';
import {makeStep, TEST_CONFIG} from './support/pool-harness.js';
import {
	DEFAULT_LIMITS, PoolCore, type StepSpec, WORKER_STATES,
} from '@amaranthsail/pool';
import {RoundPacer} from '@amaranthsail/pool/round-pacer.js';

/** Workers of a large pool; all of them report to a new leader within about a second. */
const WORKER_COUNT = 160;

const REPORT_INTERVAL_MS = 6;

/** Largest share of its time that a leader may spend in scheduling rounds, so that it answers its peers meanwhile. */
const MAX_ROUND_SHARE = 0.4;

/** A clock on which every reading takes time, so that a scheduling round of a loaded pool has a duration. */
class SlowClock extends ManualClock {
	readingTakesMs = 0;

	override monotonicMs(): number {
		this.advance(this.readingTakesMs);
		return super.monotonicMs();
	}
}

describe('RoundPacer', () => {
	const cases = [
		{title: 'runs a requested round at once', tookMs: 0, afterMs: 0, isRequested: true, expected: true},
		{title: 'pauses after a long round', tookMs: 40, afterMs: 79, isRequested: true, expected: false},
		{title: 'runs a requested round after the pause', tookMs: 40, afterMs: 80, isRequested: true, expected: true},
		{title: 'limits the pause', tookMs: 400, afterMs: 250, isRequested: true, expected: true},
		{title: 'does not run an idle round early', tookMs: 1, afterMs: 50, isRequested: false, expected: false},
		{title: 'runs an idle round at its interval', tookMs: 1, afterMs: 100, isRequested: false, expected: true},
	];
	for (const {title, tookMs, afterMs, isRequested, expected} of cases) {
		it(title, () => {
			const pacer = new RoundPacer();
			pacer.recordRound(1000, 1000 + tookMs);
			expect(pacer.isDue(1000 + tookMs + afterMs, isRequested)).to.equal(expected);
		});
	}
});

describe('pool core after a takeover', () => {
	it('leaves most of its time to other work while all workers of a large pool report', () => {
		const clock = new SlowClock(100_000);
		let inRoundsMs = 0;
		const core = new PoolCore(clock, DEFAULT_LIMITS, () => undefined, durationMs => {
			inRoundsMs += durationMs;
		});
		core.setConfig(TEST_CONFIG);
		core.recover({jobs: [], runs: [], incarnations: []});
		const steps: readonly StepSpec[] = [makeStep({taskCount: 40, isGang: true, prefersOneRack: true, shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: 8}})];
		for (let index = 0; index < 20; index++) {
			core.onJobStored(`wide${index}`, {queue: 'normal', account: 'north', acceptedAtMs: clock.wallMs(), spec: {payload: '', steps}});
		}

		const startMs = clock.monotonicMs();
		for (let index = 0; index < WORKER_COUNT; index++) {
			clock.advance(REPORT_INTERVAL_MS);
			core.onReport(`agent${index}`, {
				facts: {
					life: `w${index}@1`, id: `w${index}`, service: 'registry', failureDomain: 'd', state: WORKER_STATES.ready, capacity: {cpuMillis: 32_000, memoryMb: 64_000, accelerators: 8}, labels: ['a', `r${index % 14}`],
				},
				lists: {
					clockMs: 1, ageMs: 0, ordersBefore: 0, running: [], ended: [],
				},
			});
			clock.readingTakesMs = 1;
			core.tick();
			clock.readingTakesMs = 0;
		}

		expect(inRoundsMs).to.be.above(0);
		expect(inRoundsMs / (clock.monotonicMs() - startMs)).to.be.below(MAX_ROUND_SHARE);
	});
});
