import {expect} from 'chai';
import {InterferenceStream, type StreamOptions} from './support/interference-stream.js';
import {Interference, type InterferenceDecision} from '@amaranthsail/pool/interference/interference.js';

const MINUTE_MS = 60_000;

/** Two kinds of single tasks and of gangs, on workers whose speeds differ by a factor of 2.4. */
const LARGE: StreamOptions = {
	seed: 1,
	workers: 77,
	speeds: [0.7, 0.7, 1.7],
	load: 100,
	kinds: [{name: 'a', totalMs: 3000}, {name: 'b', totalMs: 5000}, {name: 'c', totalMs: 3000, gangSize: 4}, {name: 'd', totalMs: 12_000}, {name: 'e', totalMs: 2000, gangSize: 2}],
	slowdowns: {},
	disturbancesPerMinute: 1,
};

/** Slow workers, and workers that are slow for a while: about a third at any time. */
const DISTURBED: Partial<StreamOptions> = {
	workers: 66, speeds: [1, 1, 1.3], load: 150, disturbancesPerMinute: 3, slowWorkers: 6,
};

const MUTUAL = {'a beside b': 1.5, 'b beside a': 1.5};

function startStream(options: Partial<StreamOptions>, isKeptApart = false): {interference: Interference; stream: InterferenceStream; decisions: InterferenceDecision[]} {
	const decisions: InterferenceDecision[] = [];
	const interference = new Interference(decision => {
		decisions.push(decision);
	});
	const stream = new InterferenceStream({...LARGE, ...options, ...(isKeptApart && {penaltyOf: (kind, neighbours) => interference.penaltyOf(kind, neighbours)})}, reading => {
		interference.observe(reading);
	});
	return {interference, stream, decisions};
}

describe('interference between co-located tasks', () => {
	const pairs: ReadonlyArray<{title: string; options: Partial<StreamOptions>; maxStarts: number}> = [
		{title: 'two kinds slow each other down by half', options: {slowdowns: MUTUAL}, maxStarts: 1500},
		{title: 'two kinds slow each other down by 30%', options: {slowdowns: {'a beside b': 1.3, 'b beside a': 1.3}}, maxStarts: 3500},
		{title: 'a kind slows itself down', options: {slowdowns: {'a beside a': 1.5}}, maxStarts: 1500},
		{title: 'a kind slows gangs down and is not affected', options: {slowdowns: {'c beside d': 2}}, maxStarts: 1500},
		{title: 'few runs are packed onto few workers', options: {slowdowns: MUTUAL, load: 20, choices: 40}, maxStarts: 1500},
		{title: 'workers are slow, or turn slow three times a minute', options: {...DISTURBED, slowdowns: MUTUAL}, maxStarts: 3500},
		{title: 'lists are late', options: {slowdowns: MUTUAL, lateLists: 0.1}, maxStarts: 2500},
	];
	// A pair that is found late slows down all its runs until then; a wrong one wastes room.
	for (const {title, options, maxStarts} of pairs) {
		it(`is found, and nothing else, where ${title}`, () => {
			for (const seed of [1, 2, 3]) {
				const {stream, decisions} = startStream({...options, seed});
				stream.run(30 * MINUTE_MS, () => decisions.length > 0 || stream.starts > maxStarts);
				expect(stream.starts, `seed ${seed}`).to.be.at.most(maxStarts);
				stream.run(2 * MINUTE_MS);
				const wrong = decisions.filter(({kind, neighbour}) => options.slowdowns![`${kind} beside ${neighbour}`] === undefined && options.slowdowns![`${neighbour} beside ${kind}`] === undefined);
				expect(wrong, `seed ${seed}`).to.deep.equal([]);
			}
		});
	}

	const innocent: ReadonlyArray<{title: string; options: Partial<StreamOptions>}> = [
		{title: 'speeds differ by 2.4', options: {}},
		{title: 'speeds are those of the earlier deployments', options: {speeds: [0.8, 1, 1.25]}},
		{title: 'few runs are packed onto few workers', options: {load: 20, choices: 40}},
		{title: 'workers are slow, or turn slow three times a minute', options: DISTURBED},
		{title: 'lists are late', options: {lateLists: 0.1, load: 150}},
	];
	// Kinds that are kept apart without cause leave fewer empty workers to wide gangs.
	for (const {title, options} of innocent) {
		it(`is not found where ${title} and no task slows another one down`, () => {
			for (const seed of [1, 2, 3]) {
				const {stream, decisions} = startStream({...options, seed});
				stream.run(5 * MINUTE_MS);
				expect(decisions, `seed ${seed}`).to.deep.equal([]);
			}
		});
	}

	// A pair that is found but still placed together gains nothing.
	it('keeps a pair apart once it is found', () => {
		const {stream, decisions} = startStream({slowdowns: MUTUAL}, true);
		stream.run(10 * MINUTE_MS, () => decisions.length > 0);
		const [harmfulBefore, startsBefore] = [stream.harmfulStarts, stream.starts];
		stream.run(5 * MINUTE_MS);
		const shareBefore = harmfulBefore / startsBefore;
		expect((stream.harmfulStarts - harmfulBefore) / (stream.starts - startsBefore)).to.be.below(shareBefore / 10);
	});

	// A new version of an image may no longer disturb others; the pair would be kept apart for ever.
	it('is forgotten after some runs together without slowdown', () => {
		const slowdowns: Record<string, number> = {...MUTUAL};
		const {stream, interference} = startStream({slowdowns});
		stream.run(10 * MINUTE_MS, () => interference.foundCount === 2);
		delete slowdowns['a beside b'];
		delete slowdowns['b beside a'];
		const startsBefore = stream.starts;
		stream.run(10 * MINUTE_MS, () => interference.foundCount === 0);
		expect(interference.foundCount).to.equal(0);
		expect(stream.starts - startsBefore).to.be.at.most(2000);
	});

	// Pairs that are kept apart give no more evidence; one that was found wrongly would never be refuted.
	it('is forgotten if the pair has not run together for a while', () => {
		const {stream, interference} = startStream({slowdowns: MUTUAL});
		stream.run(10 * MINUTE_MS, () => interference.foundCount > 0);
		const others = new InterferenceStream({...LARGE, kinds: LARGE.kinds.slice(1)}, reading => {
			interference.observe({...reading, atMs: reading.atMs + stream.nowMs});
		});
		others.run(20 * MINUTE_MS, () => interference.foundCount === 0);
		expect(interference.foundCount).to.equal(0);
	});

	// Callers choose image names; a name for each job must not exhaust the leader's memory or hide a pair that is found.
	it('stays known among thousands of kinds', () => {
		const {stream, interference} = startStream({slowdowns: MUTUAL});
		stream.run(10 * MINUTE_MS, () => interference.foundCount === 2);
		for (let index = 0; index < 5000; index++) {
			const worker = {incarnation: `x${index}@1`};
			const [runs, last] = [[`k${index}`, `l${index}`], [`k${index}`]].map(kinds => kinds.map(kind => ({
				run: worker, kind, percent: 10, isResumed: false, isWaiting: false, isIgnored: false,
			})));
			for (const [second, readings] of [runs!, runs!, last!, last!].entries()) {
				const percent = 10 + (second * 10);
				interference.observe({
					worker, atMs: stream.nowMs, workerClockMs: 1000 * (second + 1), completedRuns: [], runs: readings.map((reading, position) => ({...reading, run: position === 0 ? worker : reading, percent})),
				});
			}
		}

		expect(interference.penaltyOf('a', ['b'])).to.be.above(0.5);
		expect(interference.pairCount).to.equal(1024);
	});
});
